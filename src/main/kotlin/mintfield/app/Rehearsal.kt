package mintfield.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf
import mintfield.core.Scheduler
import mintfield.core.model.AcceptedJob
import mintfield.core.model.MachineType
import mintfield.core.model.Settings
import mintfield.core.model.fittingTypes
import mintfield.io.http.HttpClient
import mintfield.io.json.Json
import mintfield.io.loop.EventLoop
import mintfield.io.loop.scope
import mintfield.io.peer.JobProgress
import mintfield.io.peer.PeerNote
import mintfield.io.peer.RelayedReport
import mintfield.io.settings.SettingsFile
import mintfield.io.store.Records
import mintfield.io.worker.JobCodec
import mintfield.io.worker.WorkerCodec
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.channels.AsynchronousChannelGroup

/**
 * A short run of a node on loopback, with nothing outside, that touches the classes which a start needs, so that the
 * build can keep them in a class-data archive. Without it a start on a quarter of a core takes seconds.
 */
object Rehearsal {
    private const val LENGTH_MS = 1_500L

    fun run() {
        val listen = freePort()
        val internal = freePort()
        val settings = SettingsFile.parse(settingsText(listen, internal, freePort()), "rehearsal")
        exerciseCore(settings)
        val node = Thread { Node(settings).run() }
        node.isDaemon = true
        node.start()
        val loop = EventLoop()
        loop.start()
        val group = AsynchronousChannelGroup.withThreadPool(loop.executor)
        val client = HttpClient(loop, group, InetSocketAddress("127.0.0.1", listen), 1)
        val peer = HttpClient(loop, group, InetSocketAddress("127.0.0.1", internal), 1)
        loop.post {
            loop.scope().launch {
                delay(LENGTH_MS / 3)
                client.call("GET", "/ready", null, 500)
                client.call("POST", "/v1/jobs", JOB.toByteArray(), 500)
                client.call("GET", "/v1/jobs/wk-000001", null, 500)
                client.call("POST", "/v1/jobs/wk-000001/abort", null, 500)
                client.call("POST", "/checkin", REPORT.toByteArray(), 500)
                peer.call("POST", "/peer", note(), 500)
                peer.call("POST", "/relay", relayed(), 500)
            }
        }
        Thread.sleep(LENGTH_MS)
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun note() = ProtoBuf.encodeToByteArray(PeerNote.serializer(), PeerNote("b", true, true, listOf(JobProgress("wk-000001", 1, 2))))

    @OptIn(ExperimentalSerializationApi::class)
    private fun relayed() = ProtoBuf.encodeToByteArray(RelayedReport.serializer(), RelayedReport("b", REPORT.toByteArray()))

    private fun freePort() = ServerSocket(0).use { it.localPort }

    /** A job from submission to its done-set, through the codecs of everything that is kept or sent. */
    private fun exerciseCore(settings: Settings) {
        val type = MachineType("g8", 8.0, 0.0, 64.0, 50.0, 1.0, 1.0, 0.3, 30.0, listOf("a"))
        val spec = (JobCodec.parse(Json.parse(JOB.toByteArray())) as JobCodec.Parsed.Valid).spec
        val accepted = AcceptedJob(spec, 2, 0, false, fittingTypes(spec, listOf(type)))
        val again = Records.parseLive(Json.parseObject(Records.live(accepted))!!, 2) { emptyList() }!!
        val scheduler = Scheduler(settings, 1) { }
        scheduler.types(listOf(type), 0)
        scheduler.replayDone(0)
        scheduler.jobChanged(again, 0)
        val report = WorkerCodec.report(REPORT.toByteArray())!!
        scheduler.report(report, mayAct = true, nowMs = 1)
        scheduler.tick(2)
        scheduler.nextCommit(100, 0, 16)?.let { commit ->
            scheduler.committed(commit, mintfield.core.CommitResult.Done(3), 110)
        }
        scheduler.directCalls(120, 4).forEach { WorkerCodec.orders(it.term, it.season, it.orders) }
        scheduler.summary(120)
    }

    private const val JOB =
        """{"id":"wk-000001","bench":"c","crew":"t","shape":"sweep","urgency":"normal","pieces":2,"vcpus":1.0,"cards":0.0,
        "memoryGb":1.0,"seedbag":"i","sizeGb":1.0,"breeds":null,"field":null,"samePlace":false,"spread":false,"gleaning":true,
        "growS":10.0,"harvestS":0.0,"baleS":0.0,"dueS":60.0}"""

    private const val REPORT =
        """{"plot":"m-000001","address":"127.0.0.1:9","breed":"g8","field":"a","gleaning":false,"season":1,"tally":1,"staff":1,
        "reclaimS":null,"pieces":[{"piece":"wk-000002/0","sowing":2,"stage":"ended","cause":"done"}]}"""

    private fun settingsText(
        listen: Int,
        internal: Int,
        nobody: Int,
    ) = """
        member = "a"
        zone = "a"
        client_listen = "127.0.0.1:$listen"
        internal_addr = "127.0.0.1:$internal"
        [[siblings]]
        member = "b"
        zone = "a"
        address = "127.0.0.1:$internal"
        [outside]
        cloud = "127.0.0.1:$nobody"
        state = "127.0.0.1:$nobody"
        [params]
        zones = ["a"]
        [[params.teams]]
        name = "t"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 0.0
        gpus_max = 0.0
        [[params.objectives]]
        kind = "deadline"
        class = "c"
        times = 1.0
        share = 0.9
        [params.workers]
        report_s = 1.0
        lease_s = 10.0
        cancel_s = 40.0
        [params.state]
        rps = 60.0
        write_rps = 20.0
        value_kb = 8.0
        txn_ops = 16
        [params.cloud]
        rps = 4.0
        list_lag_s = 5.0
        [params.resources]
        cpu = 0.255
        ram_mb = 181.0
        max_sockets = 600
    """
}
