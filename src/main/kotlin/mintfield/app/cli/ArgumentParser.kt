package mintfield.app.cli

import org.apache.commons.cli.CommandLine
import org.apache.commons.cli.DefaultParser
import org.apache.commons.cli.HelpFormatter
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import org.apache.commons.cli.ParseException

private const val CONFIG = "config"
private const val OPERATOR = "operator"
private const val JSON = "json"
private const val HELP = "help"
private const val VERSION = "version"

/** The commands. Without a command the program runs a controller. */
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

/** Parses the arguments of the command line; has no side effects except [printHelp]. */
internal object ArgumentParser {
    private val options =
        Options()
            .addOption(Option(null, CONFIG, true, "serve with the settings of this file (TOML)"))
            .addOption(Option(null, OPERATOR, true, "operators' own settings (HCL)"))
            .addOption(Option(null, JSON, false, "machines show: print JSON"))
            .addOption(Option("h", HELP, false, "show this help"))
            .addOption(Option("V", VERSION, false, "show the version"))

    /** Parses [arguments]; returns [Invocation.Unusable], with the reason, if they are invalid. */
    fun parse(arguments: Array<String>): Invocation =
        try {
            invocation(DefaultParser().parse(options, arguments))
        } catch (e: ParseException) {
            Invocation.Unusable(e.message ?: "the arguments cannot be used")
        }

    /** Prints the help to the standard output. */
    fun printHelp() = HelpFormatter().printHelp(USAGE, COMMANDS, options, "")

    private fun invocation(line: CommandLine): Invocation =
        when {
            line.hasOption(HELP) -> Invocation.Help
            line.hasOption(VERSION) -> Invocation.Version
            else -> command(line)
        }

    private fun command(line: CommandLine): Invocation {
        val words = line.argList
        val arguments = words.drop(1)
        return when (words.firstOrNull()) {
            null -> withSettings(line) { Invocation.Serve(it) }
            CHECK -> arguments.singleOrNull()?.let { Invocation.Check(it) } ?: Invocation.Unusable("$CHECK expects one FILE")
            MACHINES -> withSettings(line) { Invocation.Machines(it, line.hasOption(JSON), MachinesRequest.parse(arguments)) }
            // The state of a job does not depend on the operators' file.
            PIPELINE ->
                arguments.singleOrNull()?.let { job -> withSettings(line) { Invocation.Pipeline(it.copy(operator = null), job) } }
                    ?: Invocation.Unusable("$PIPELINE expects one JOB")
            WARM_UP -> Invocation.WarmUp
            else -> Invocation.Unusable("unknown command ${words.first()}; see --help")
        }
    }

    private inline fun withSettings(
        line: CommandLine,
        invocation: (SettingsFiles) -> Invocation,
    ): Invocation {
        val config = line.getOptionValue(CONFIG) ?: return Invocation.Unusable("expected --$CONFIG FILE; see --$HELP")
        return invocation(SettingsFiles(config, line.getOptionValue(OPERATOR)))
    }
}
