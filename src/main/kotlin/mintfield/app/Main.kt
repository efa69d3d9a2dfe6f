package mintfield.app

import com.beust.jcommander.JCommander
import com.beust.jcommander.Parameter
import com.beust.jcommander.ParameterException
import com.beust.jcommander.Parameters
import mintfield.core.model.LogFormat
import mintfield.io.loop.Log
import mintfield.io.settings.OperatorFile
import mintfield.io.settings.SettingsFault
import mintfield.io.settings.SettingsFile
import kotlin.system.exitProcess

private const val VERSION = "mintfield 0.1.0"

private const val CHECK = "check"
private const val REHEARSE = "rehearse"

/** Exit code for settings or arguments that cannot be used. */
private const val BAD_USAGE = 2

private class Options {
    @Parameter(names = ["--config"], description = "serve with the settings of this file (TOML)")
    @JvmField
    var config: String? = null

    @Parameter(names = ["--operator"], description = "operators' own settings (HCL)")
    @JvmField
    var operator: String? = null

    @Parameter(names = ["--help", "-h"], help = true, description = "show this help")
    @JvmField
    var help = false

    @Parameter(names = ["--version", "-V"], help = true, description = "show the version")
    @JvmField
    var version = false
}

@Parameters(commandDescription = "checks a settings file (TOML, or HCL by its ending .hcl) and says what is wrong with it")
private class CheckCommand {
    @Parameter(description = "FILE", required = true)
    @JvmField
    var file: String? = null
}

@Parameters(hidden = true, commandDescription = "touches the classes of a start, for the build's class-data archive")
private class RehearseCommand

fun main(args: Array<String>) {
    val options = Options()
    val check = CheckCommand()
    val line = JCommander(options)
    line.programName = "mintfield"
    line.addCommand(CHECK, check)
    line.addCommand(REHEARSE, RehearseCommand())
    try {
        line.parse(*args)
    } catch (e: ParameterException) {
        refuse(e.message ?: "the arguments cannot be used")
    }
    if (options.help) return println(StringBuilder().also { line.usageFormatter.usage(it) })
    if (options.version) return println(VERSION)
    try {
        when (line.parsedCommand) {
            CHECK -> check(check.file!!)
            REHEARSE -> {
                Rehearsal.run()
                exitProcess(0)
            }
            else -> serve(options)
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

private fun serve(options: Options) {
    val path = options.config ?: refuse("expected --config FILE; see --help")
    val settings = SettingsFile.read(path)
    // Its classes load only when it is named: every class costs time at the start.
    val operator = options.operator?.let { OperatorFile.read(it) } ?: settings.operator
    Log.json = operator.logFormat == LogFormat.JSON
    Node(settings.copy(operator = operator)).run()
}
