package mintfield.app

import mintfield.app.cli.MachinesCommand
import mintfield.app.cli.PipelineCommand
import mintfield.app.warmup.WarmUp
import mintfield.core.model.LogFormat
import mintfield.core.model.Settings
import mintfield.io.loop.Log
import mintfield.io.settings.OperatorFile
import mintfield.io.settings.SettingsFault
import mintfield.io.settings.SettingsFile
import org.apache.commons.cli.DefaultParser
import org.apache.commons.cli.HelpFormatter
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import org.apache.commons.cli.ParseException
import kotlin.system.exitProcess

private const val VERSION = "mintfield 0.1.0"

private const val CONFIG = "config"
private const val OPERATOR = "operator"
private const val JSON = "json"
private const val HELP = "help"
private const val VERSION_OPTION = "version"

/** Commands; without one the program serves. */
private const val CHECK = "check"
private const val WARM_UP = "warm-up"
private const val MACHINES = "machines"
private const val PIPELINE = "pipeline"

private const val USAGE =
    "mintfield --config FILE [--operator FILE] | check FILE | pipeline JOB | machines show [SHARE] [--json] | " +
        "machines move MACHINE SHARE | machines cancel MACHINE | machines drain CONTROLLER | machines resume CONTROLLER | machines unshare"
private const val COMMANDS =
    "check FILE: checks a settings file (TOML, or HCL by its ending .hcl) and says what is wrong with it; " +
        "pipeline JOB, with --config: how the job stands, and those that it waits for; " +
        "machines, with --config and --operator: who owns machines and which of them move, orders a move or takes it back, " +
        "has a controller give its shares to others or lead again, ends the sharing"

/** Exit code for settings or arguments that cannot be used. */
private const val BAD_USAGE = 2

private fun options(): Options =
    Options()
        .addOption(Option(null, CONFIG, true, "serve with the settings of this file (TOML)"))
        .addOption(Option(null, OPERATOR, true, "operators' own settings (HCL)"))
        .addOption(Option(null, JSON, false, "machines show: print JSON"))
        .addOption(Option("h", HELP, false, "show this help"))
        .addOption(Option("V", VERSION_OPTION, false, "show the version"))

/** Entry point of the command line. */
fun main(args: Array<String>) {
    val options = options()
    val line =
        try {
            DefaultParser().parse(options, args)
        } catch (e: ParseException) {
            refuse(e.message ?: "the arguments cannot be used")
        }
    if (line.hasOption(HELP)) return HelpFormatter().printHelp(USAGE, COMMANDS, options, "")
    if (line.hasOption(VERSION_OPTION)) return println(VERSION)
    val words = line.argList
    try {
        when (words.firstOrNull()) {
            null -> serve(line.getOptionValue(CONFIG), line.getOptionValue(OPERATOR))
            CHECK -> check(words.drop(1).singleOrNull() ?: refuse("$CHECK expects one FILE"))
            MACHINES -> machines(line.getOptionValue(CONFIG), line.getOptionValue(OPERATOR), line.hasOption(JSON), words.drop(1))
            PIPELINE -> pipeline(line.getOptionValue(CONFIG), words.drop(1).singleOrNull() ?: refuse("$PIPELINE expects one JOB"))
            WARM_UP -> {
                WarmUp().run()
                exitProcess(0)
            }
            else -> refuse("unknown command ${words.first()}; see --help")
        }
    } catch (e: SettingsFault) {
        refuse(e.message ?: "the settings cannot be used")
    }
}

private fun refuse(reason: String): Nothing {
    System.err.println("mintfield: $reason")
    exitProcess(BAD_USAGE)
}

private fun check(path: String) {
    if (path.endsWith(".hcl")) OperatorFile.read(path) else SettingsFile.read(path)
    println("$path: good")
}

private fun serve(
    config: String?,
    operatorFile: String?,
) {
    val settings = settings(config, operatorFile)
    Log.json = settings.operator.logFormat == LogFormat.JSON
    Controller(settings).run()
}

private fun pipeline(
    config: String?,
    id: String,
) {
    exitProcess(PipelineCommand(settings(config, operatorFile = null), ::println).run(id))
}

private fun machines(
    config: String?,
    operatorFile: String?,
    json: Boolean,
    words: List<String>,
) {
    val code =
        MachinesCommand(settings(config, operatorFile), json, ::println).run(words)
            ?: refuse("$MACHINES expects show [SHARE], move MACHINE SHARE, cancel MACHINE, drain CONTROLLER, resume CONTROLLER or unshare")
    exitProcess(code)
}

private fun settings(
    config: String?,
    operatorFile: String?,
): Settings {
    val settings = SettingsFile.read(config ?: refuse("expected --config FILE; see --help"))
    // Its classes load only when it is named: every class costs time at the start.
    val operator = operatorFile?.let { OperatorFile.read(it) } ?: return settings
    operator.sharding?.problem(settings)?.let { throw SettingsFault("$operatorFile: ${it.message}") }
    return settings.copy(operator = operator)
}
