package mintfield.io.ownership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import mintfield.core.model.ExitReason
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.core.ownership.ForeignTaskAnswer
import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.ForeignTaskRef

/** A leader's questions to the leader of [shard] about tasks on machines of that share. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class ForeignTaskQueries(
    @ProtoNumber(1) val shard: String,
    @ProtoNumber(2) val queries: List<Query> = emptyList(),
) {
    @Serializable
    class Query(
        @ProtoNumber(1) val machine: String,
        @ProtoNumber(2) val tasks: List<Ref> = emptyList(),
    )

    @Serializable
    class Ref(
        @ProtoNumber(1) val job: String,
        @ProtoNumber(2) val index: Int,
        @ProtoNumber(3) val attempt: Long,
        @ProtoNumber(4) val action: ForeignTaskRef.Action = ForeignTaskRef.Action.QUERY,
    )
}

/** The answers, in the order of the questions. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class ForeignTaskAnswers(
    @ProtoNumber(1) val answers: List<Answer> = emptyList(),
) {
    enum class Kind { NOT_OWNER, NO_HEARTBEAT_YET, STATUS }

    @Serializable
    class Answer(
        @ProtoNumber(1) val kind: Kind,
        @ProtoNumber(2) val present: List<Present> = emptyList(),
    )

    @Serializable
    class Present(
        @ProtoNumber(1) val job: String,
        @ProtoNumber(2) val index: Int,
        @ProtoNumber(3) val attempt: Long,
        @ProtoNumber(4) val state: TaskState,
        @ProtoNumber(5) val cause: ExitReason? = null,
    )
}

/** Questions and answers as the controllers send them to each other. */
@OptIn(ExperimentalSerializationApi::class)
object ForeignTaskCodec {
    fun encodeQueries(
        shard: String,
        queries: List<ForeignTaskQuery>,
    ): ByteArray {
        val written =
            queries.map { q ->
                ForeignTaskQueries.Query(q.machine, q.tasks.map { ForeignTaskQueries.Ref(it.task.job, it.task.index, it.attempt, it.action) })
            }
        return ProtoBuf.encodeToByteArray(ForeignTaskQueries.serializer(), ForeignTaskQueries(shard, written))
    }

    /** The share asked, and what it is asked; null if the bytes are no questions. */
    fun decodeQueries(bytes: ByteArray): Pair<String, List<ForeignTaskQuery>>? {
        val read = decode { ProtoBuf.decodeFromByteArray(ForeignTaskQueries.serializer(), bytes) } ?: return null
        return read.shard to
            read.queries.map { q -> ForeignTaskQuery(q.machine, q.tasks.map { ForeignTaskRef(TaskId(it.job, it.index), it.attempt, it.action) }) }
    }

    fun answers(answers: List<ForeignTaskAnswer>): ByteArray =
        ProtoBuf.encodeToByteArray(ForeignTaskAnswers.serializer(), ForeignTaskAnswers(answers.map(::written)))

    /** Null if the bytes are no answers. */
    fun decodeAnswers(bytes: ByteArray): List<ForeignTaskAnswer>? =
        decode { ProtoBuf.decodeFromByteArray(ForeignTaskAnswers.serializer(), bytes) }?.answers?.map(::read)

    private fun written(answer: ForeignTaskAnswer): ForeignTaskAnswers.Answer =
        when (answer) {
            ForeignTaskAnswer.NotOwner -> ForeignTaskAnswers.Answer(ForeignTaskAnswers.Kind.NOT_OWNER)
            ForeignTaskAnswer.NoHeartbeatYet -> ForeignTaskAnswers.Answer(ForeignTaskAnswers.Kind.NO_HEARTBEAT_YET)
            is ForeignTaskAnswer.Status ->
                ForeignTaskAnswers.Answer(
                    ForeignTaskAnswers.Kind.STATUS,
                    answer.present.map { ForeignTaskAnswers.Present(it.task.job, it.task.index, it.attempt, it.state, it.cause) },
                )
        }

    private fun read(answer: ForeignTaskAnswers.Answer): ForeignTaskAnswer =
        when (answer.kind) {
            ForeignTaskAnswers.Kind.NOT_OWNER -> ForeignTaskAnswer.NotOwner
            ForeignTaskAnswers.Kind.NO_HEARTBEAT_YET -> ForeignTaskAnswer.NoHeartbeatYet
            ForeignTaskAnswers.Kind.STATUS ->
                ForeignTaskAnswer.Status(
                    answer.present.map { TaskStatus(TaskId(it.job, it.index), it.attempt, it.state, it.cause) },
                )
        }

    private inline fun <T> decode(read: () -> T): T? =
        try {
            read()
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
}
