// A field number of protobuf is read best beside its field.
@file:Suppress("MagicNumber")

package mintfield.io.ownership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import mintfield.core.model.ExitReason
import mintfield.core.model.TaskState
import mintfield.core.ownership.ForeignTaskRef

/** The message with a leader's queries to the leader of [shard], about tasks on machines of that shard. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class ForeignTaskQueriesMessage(
    @ProtoNumber(1) val shard: String,
    @ProtoNumber(2) val queries: List<QueryMessage> = emptyList(),
)

/** A query about tasks on one machine. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class QueryMessage(
    @ProtoNumber(1) val machine: String,
    @ProtoNumber(2) val tasks: List<TaskRefMessage> = emptyList(),
)

/** One attempt of a task that is asked about. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class TaskRefMessage(
    @ProtoNumber(1) val job: String,
    @ProtoNumber(2) val index: Int,
    @ProtoNumber(3) val attempt: Long,
    @ProtoNumber(4) val action: ForeignTaskRef.Action = ForeignTaskRef.Action.QUERY,
)

/** The message with the answers, in the order of the queries. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class ForeignTaskAnswersMessage(
    @ProtoNumber(1) val answers: List<AnswerMessage> = emptyList(),
)

/** The answer to one query. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class AnswerMessage(
    @ProtoNumber(1) val kind: AnswerKind,
    @ProtoNumber(2) val present: List<TaskStatusMessage> = emptyList(),
)

/** Which answer it is. Sent by position, so the order must stay. */
internal enum class AnswerKind { NOT_OWNER, NO_HEARTBEAT_YET, STATUS }

/** The state of one attempt of a task that is on the machine. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class TaskStatusMessage(
    @ProtoNumber(1) val job: String,
    @ProtoNumber(2) val index: Int,
    @ProtoNumber(3) val attempt: Long,
    @ProtoNumber(4) val state: TaskState,
    @ProtoNumber(5) val cause: ExitReason? = null,
)
