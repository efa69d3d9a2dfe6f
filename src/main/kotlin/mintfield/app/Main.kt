package mintfield.app

import mintfield.core.model.LogFormat
import mintfield.io.loop.Log
import mintfield.io.settings.OperatorFile
import mintfield.io.settings.SettingsFault
import mintfield.io.settings.SettingsFile
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import picocli.CommandLine.Model.PositionalParamSpec
import kotlin.system.exitProcess

private const val VERSION = "mintfield 0.1.0"

private const val REHEARSE = "rehearse"

/** Exit code for settings or arguments that cannot be used. */
private const val BAD_USAGE = 2

/** The command line, built by hand instead of from annotations, since reflection slows the start. */
private fun spec(): CommandSpec {
    val spec =
        CommandSpec
            .create()
            .name("mintfield")
            .mixinStandardHelpOptions(true)
            .version(VERSION)
    spec.usageMessage().description("Schedules jobs on rented machines.")
    spec.addOption(
        OptionSpec
            .builder("--config")
            .paramLabel("FILE")
            .type(String::class.java)
            .description("serve with the settings of this file (TOML)")
            .build(),
    )
    spec.addOption(
        OptionSpec
            .builder("--operator")
            .paramLabel("FILE")
            .type(String::class.java)
            .description("operators' own settings (HCL)")
            .build(),
    )
    val check = CommandSpec.create().name("check").mixinStandardHelpOptions(true)
    check.usageMessage().description("Checks a settings file (TOML, or HCL by its ending .hcl) and says what is wrong with it.")
    check.addPositional(
        PositionalParamSpec
            .builder()
            .paramLabel("FILE")
            .type(String::class.java)
            .arity("1")
            .build(),
    )
    spec.addSubcommand("check", check)
    val rehearse = CommandSpec.create().name(REHEARSE).mixinStandardHelpOptions(true)
    rehearse.usageMessage().hidden(true).description("Touches the classes of a start, for the build's class-data archive.")
    spec.addSubcommand(REHEARSE, rehearse)
    return spec
}

fun main(args: Array<String>) {
    val line = CommandLine(spec())
    val parsed =
        try {
            line.parseArgs(*args)
        } catch (e: CommandLine.ParameterException) {
            System.err.println("mintfield: ${e.message}")
            exitProcess(BAD_USAGE)
        }
    CommandLine.executeHelpRequest(parsed)?.let { exitProcess(it) }
    try {
        val sub = parsed.subcommand()
        if (sub?.commandSpec()?.name() == REHEARSE) {
            Rehearsal.run()
            exitProcess(0)
        }
        if (sub != null) {
            val path: String = sub.matchedPositionalValue(0, "")
            if (path.endsWith(".hcl")) OperatorFile.read(path) else SettingsFile.read(path)
            println("$path: good")
            return
        }
        val path: String? = parsed.matchedOptionValue("--config", null)
        if (path == null) {
            System.err.println("mintfield: expected --config FILE; see --help")
            exitProcess(BAD_USAGE)
        }
        val settings = SettingsFile.read(path)
        val own: String? = parsed.matchedOptionValue("--operator", null)
        // Its classes load only when it is named: every class costs time at the start.
        val operator = own?.let { OperatorFile.read(it) } ?: settings.operator
        Log.json = operator.logFormat == LogFormat.JSON
        Node(settings.copy(operator = operator)).run()
    } catch (e: SettingsFault) {
        System.err.println("mintfield: ${e.message}")
        exitProcess(BAD_USAGE)
    }
}
