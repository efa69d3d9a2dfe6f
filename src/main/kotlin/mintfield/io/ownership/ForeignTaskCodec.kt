package mintfield.io.ownership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf
import mintfield.core.model.TaskId
import mintfield.core.model.TaskStatus
import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.ForeignTaskRef
import mintfield.core.ownership.ForeignTaskResponse
import mintfield.io.peer.decodeOrNull

/** Codec of queries about foreign tasks and their responses, in the protobuf messages that controllers send to each other. */
@OptIn(ExperimentalSerializationApi::class)
object ForeignTaskCodec {
    /** Encodes [queries] to the leader of [shard]. */
    fun encodeQueries(
        shard: String,
        queries: List<ForeignTaskQuery>,
    ): ByteArray {
        val message = ForeignTaskQueriesMessage(shard, queries.map(::toMessage))
        return ProtoBuf.encodeToByteArray(ForeignTaskQueriesMessage.serializer(), message)
    }

    /** Decodes the queried shard and the queries; null if [bytes] are malformed. */
    fun decodeQueries(bytes: ByteArray): ShardQueries? =
        decodeOrNull(ForeignTaskQueriesMessage.serializer(), bytes)?.let { ShardQueries(it.shard, it.queries.map(::fromMessage)) }

    /** Encodes [responses], which must be in the order of the queries. */
    fun encodeResponses(responses: List<ForeignTaskResponse>): ByteArray =
        ProtoBuf.encodeToByteArray(ForeignTaskResponsesMessage.serializer(), ForeignTaskResponsesMessage(responses.map(::toMessage)))

    /** Decodes the responses, in the order of the queries; null if [bytes] are malformed. */
    fun decodeResponses(bytes: ByteArray): List<ForeignTaskResponse>? =
        decodeOrNull(ForeignTaskResponsesMessage.serializer(), bytes)?.answers?.map(::fromMessage)

    private fun toMessage(query: ForeignTaskQuery) = QueryMessage(query.machine, query.tasks.map(::toMessage))

    private fun fromMessage(message: QueryMessage) = ForeignTaskQuery(message.machine, message.tasks.map(::fromMessage))

    private fun toMessage(ref: ForeignTaskRef) = TaskRefMessage(ref.task.job, ref.task.index, ref.attempt, ref.action)

    private fun fromMessage(message: TaskRefMessage) = ForeignTaskRef(TaskId(message.job, message.index), message.attempt, message.action)

    private fun toMessage(response: ForeignTaskResponse): QueryResponseMessage =
        when (response) {
            ForeignTaskResponse.NotOwner -> QueryResponseMessage(QueryResponseKind.NOT_OWNER)
            ForeignTaskResponse.NoHeartbeatYet -> QueryResponseMessage(QueryResponseKind.NO_HEARTBEAT_YET)
            is ForeignTaskResponse.Status -> QueryResponseMessage(QueryResponseKind.STATUS, response.present.map(::toMessage))
        }

    private fun fromMessage(message: QueryResponseMessage): ForeignTaskResponse =
        when (message.kind) {
            QueryResponseKind.NOT_OWNER -> ForeignTaskResponse.NotOwner
            QueryResponseKind.NO_HEARTBEAT_YET -> ForeignTaskResponse.NoHeartbeatYet
            QueryResponseKind.STATUS -> ForeignTaskResponse.Status(message.present.map(::fromMessage))
        }

    private fun toMessage(status: TaskStatus) = TaskStatusMessage(status.task.job, status.task.index, status.attempt, status.state, status.cause)

    private fun fromMessage(message: TaskStatusMessage) = TaskStatus(TaskId(message.job, message.index), message.attempt, message.state, message.cause)
}
