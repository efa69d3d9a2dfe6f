package mintfield.io.ownership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf
import mintfield.core.model.TaskId
import mintfield.core.model.TaskStatus
import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.ForeignTaskRef
import mintfield.core.ownership.ForeignTaskResponse
import mintfield.io.peer.decodeOrNull

/** Maps queries about foreign tasks and their answers to the protobuf messages that controllers send to each other, and back. */
@OptIn(ExperimentalSerializationApi::class)
object ForeignTaskCodec {
    /** The message with [queries] to the leader of [shard]. */
    fun encodeQueries(
        shard: String,
        queries: List<ForeignTaskQuery>,
    ): ByteArray {
        val message = ForeignTaskQueriesMessage(shard, queries.map(::toMessage))
        return ProtoBuf.encodeToByteArray(ForeignTaskQueriesMessage.serializer(), message)
    }

    /** The shard asked and what it is asked; null if [bytes] are not such a message. */
    fun decodeQueries(bytes: ByteArray): ShardQueries? =
        decodeOrNull(ForeignTaskQueriesMessage.serializer(), bytes)?.let { ShardQueries(it.shard, it.queries.map(::fromMessage)) }

    /** The message with [answers], in the order of the queries. */
    fun encodeAnswers(answers: List<ForeignTaskResponse>): ByteArray =
        ProtoBuf.encodeToByteArray(ForeignTaskAnswersMessage.serializer(), ForeignTaskAnswersMessage(answers.map(::toMessage)))

    /** The answers in the order of the queries; null if [bytes] are not such a message. */
    fun decodeAnswers(bytes: ByteArray): List<ForeignTaskResponse>? = decodeOrNull(ForeignTaskAnswersMessage.serializer(), bytes)?.answers?.map(::fromMessage)

    private fun toMessage(query: ForeignTaskQuery) = QueryMessage(query.machine, query.tasks.map(::toMessage))

    private fun fromMessage(message: QueryMessage) = ForeignTaskQuery(message.machine, message.tasks.map(::fromMessage))

    private fun toMessage(ref: ForeignTaskRef) = TaskRefMessage(ref.task.job, ref.task.index, ref.attempt, ref.action)

    private fun fromMessage(message: TaskRefMessage) = ForeignTaskRef(TaskId(message.job, message.index), message.attempt, message.action)

    private fun toMessage(answer: ForeignTaskResponse): AnswerMessage =
        when (answer) {
            ForeignTaskResponse.NotOwner -> AnswerMessage(AnswerKind.NOT_OWNER)
            ForeignTaskResponse.NoHeartbeatYet -> AnswerMessage(AnswerKind.NO_HEARTBEAT_YET)
            is ForeignTaskResponse.Status -> AnswerMessage(AnswerKind.STATUS, answer.present.map(::toMessage))
        }

    private fun fromMessage(message: AnswerMessage): ForeignTaskResponse =
        when (message.kind) {
            AnswerKind.NOT_OWNER -> ForeignTaskResponse.NotOwner
            AnswerKind.NO_HEARTBEAT_YET -> ForeignTaskResponse.NoHeartbeatYet
            AnswerKind.STATUS -> ForeignTaskResponse.Status(message.present.map(::fromMessage))
        }

    private fun toMessage(status: TaskStatus) = TaskStatusMessage(status.task.job, status.task.index, status.attempt, status.state, status.cause)

    private fun fromMessage(message: TaskStatusMessage) = TaskStatus(TaskId(message.job, message.index), message.attempt, message.state, message.cause)
}
