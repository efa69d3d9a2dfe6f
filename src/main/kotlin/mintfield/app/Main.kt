package mintfield.app

import mintfield.app.cli.ArgumentParser
import mintfield.app.cli.ExitCode
import mintfield.app.cli.Invocation
import mintfield.app.cli.MachinesCommand
import mintfield.app.cli.MachinesRequest
import mintfield.app.cli.PipelineCommand
import mintfield.app.cli.SettingsFiles
import mintfield.app.warmup.WarmUp
import mintfield.core.model.LogFormat
import mintfield.io.loop.Log
import mintfield.io.settings.OperatorFile
import mintfield.io.settings.SettingsFault
import mintfield.io.settings.SettingsFile
import kotlin.system.exitProcess

private const val VERSION = "mintfield 0.1.0"

/** File name extension of the operators' file. */
private const val OPERATOR_FILE_EXTENSION = ".hcl"

/** Runs the command that [args] name and exits with its exit code. */
fun main(args: Array<String>) {
    val invocation = ArgumentParser.parse(args)
    val exitCode =
        try {
            run(invocation)
        } catch (e: SettingsFault) {
            badUsage(e.message ?: "invalid settings")
        }
    // After a controller was stopped the process ends with its last thread, without exitProcess.
    if (invocation !is Invocation.Serve || exitCode != ExitCode.DONE) exitProcess(exitCode.number)
}

private fun run(invocation: Invocation): ExitCode =
    when (invocation) {
        Invocation.Help -> done { ArgumentParser.printHelp() }
        Invocation.Version -> done { println(VERSION) }
        is Invocation.Serve -> done { serve(invocation.files) }
        is Invocation.Check -> done { check(invocation.path) }
        is Invocation.Machines -> machines(invocation)
        is Invocation.Pipeline -> PipelineCommand(invocation.files.read(), ::println).run(invocation.job)
        Invocation.WarmUp -> done { WarmUp().run() }
        is Invocation.Unusable -> badUsage(invocation.reason)
    }

private inline fun done(action: () -> Unit): ExitCode {
    action()
    return ExitCode.DONE
}

private fun badUsage(reason: String): ExitCode {
    System.err.println("mintfield: $reason")
    return ExitCode.BAD_USAGE
}

/** Runs a controller and blocks until it is stopped. */
private fun serve(files: SettingsFiles) {
    val settings = files.read()
    Log.json = settings.operator.logFormat == LogFormat.JSON
    Controller(settings).run()
}

private fun check(path: String) {
    if (path.endsWith(OPERATOR_FILE_EXTENSION)) OperatorFile.read(path) else SettingsFile.read(path)
    println("$path: good")
}

private fun machines(invocation: Invocation.Machines): ExitCode {
    val settings = invocation.files.read()
    val sharding = settings.operator.sharding
    val request = invocation.request
    return when {
        sharding == null -> {
            println("machines are not shared: the operators' file has no block sharing")
            ExitCode.REFUSED
        }
        request == null -> badUsage(MachinesRequest.USAGE)
        else -> MachinesCommand(settings, sharding, invocation.json, ::println).run(request)
    }
}
