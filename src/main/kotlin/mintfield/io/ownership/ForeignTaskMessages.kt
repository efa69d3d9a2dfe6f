@file:Suppress("MagicNumber") // field numbers of protobuf are clearest beside their fields

package mintfield.io.ownership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import mintfield.core.model.ExitReason
import mintfield.core.model.TaskState
import mintfield.core.ownership.ForeignTaskRef

/** Queries of a leader to the leader of [shard] about tasks on machines of that shard. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class ForeignTaskQueriesMessage(
    @ProtoNumber(1) val shard: String,
    @ProtoNumber(2) val queries: List<QueryMessage> = emptyList(),
)

/** One query, about tasks on one machine. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class QueryMessage(
    @ProtoNumber(1) val machine: String,
    @ProtoNumber(2) val tasks: List<TaskRefMessage> = emptyList(),
)

/** One attempt in a query, with the requested action. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class TaskRefMessage(
    @ProtoNumber(1) val job: String,
    @ProtoNumber(2) val index: Int,
    @ProtoNumber(3) val attempt: Long,
    @ProtoNumber(4) val action: ForeignTaskRef.Action = ForeignTaskRef.Action.QUERY,
)

/** The responses to the queries of a [ForeignTaskQueriesMessage], in the order of the queries. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class ForeignTaskResponsesMessage(
    @ProtoNumber(1) val answers: List<QueryResponseMessage> = emptyList(),
)

/** The response to one query. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class QueryResponseMessage(
    @ProtoNumber(1) val kind: QueryResponseKind,
    @ProtoNumber(2) val present: List<TaskStatusMessage> = emptyList(),
)

/** The kind of a response. It is encoded by position, so the order of the values must not change. */
internal enum class QueryResponseKind { NOT_OWNER, NO_HEARTBEAT_YET, STATUS }

/** The status of one attempt that is on the machine. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class TaskStatusMessage(
    @ProtoNumber(1) val job: String,
    @ProtoNumber(2) val index: Int,
    @ProtoNumber(3) val attempt: Long,
    @ProtoNumber(4) val state: TaskState,
    @ProtoNumber(5) val cause: ExitReason? = null,
)
