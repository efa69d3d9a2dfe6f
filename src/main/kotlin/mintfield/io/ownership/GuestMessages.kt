package mintfield.io.ownership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import mintfield.core.model.EndCause
import mintfield.core.model.ReportedState
import mintfield.core.model.ReportedTask
import mintfield.core.model.TaskId
import mintfield.core.ownership.GuestAnswer
import mintfield.core.ownership.GuestQuery
import mintfield.core.ownership.GuestRef

/** A leader's questions to the leader of [share] about tasks on machines of that share. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class GuestQuestions(
    @ProtoNumber(1) val share: String,
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
        @ProtoNumber(4) val wish: GuestRef.Wish = GuestRef.Wish.TELL,
    )
}

/** The answers, in the order of the questions. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class GuestAnswers(
    @ProtoNumber(1) val answers: List<Answer> = emptyList(),
) {
    enum class Kind { NOT_ITS_OWNER, NOT_HEARD_YET, TOLD }

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
        @ProtoNumber(4) val state: ReportedState,
        @ProtoNumber(5) val cause: EndCause? = null,
    )
}

/** Questions and answers as the controllers send them to each other. */
@OptIn(ExperimentalSerializationApi::class)
object GuestCodec {
    fun questions(
        share: String,
        queries: List<GuestQuery>,
    ): ByteArray {
        val written = queries.map { q -> GuestQuestions.Query(q.machine, q.tasks.map { GuestQuestions.Ref(it.task.job, it.task.index, it.attempt, it.wish) }) }
        return ProtoBuf.encodeToByteArray(GuestQuestions.serializer(), GuestQuestions(share, written))
    }

    /** The share asked, and what it is asked; null if the bytes are no questions. */
    fun parseQuestions(bytes: ByteArray): Pair<String, List<GuestQuery>>? {
        val read = decode { ProtoBuf.decodeFromByteArray(GuestQuestions.serializer(), bytes) } ?: return null
        return read.share to read.queries.map { q -> GuestQuery(q.machine, q.tasks.map { GuestRef(TaskId(it.job, it.index), it.attempt, it.wish) }) }
    }

    fun answers(answers: List<GuestAnswer>): ByteArray = ProtoBuf.encodeToByteArray(GuestAnswers.serializer(), GuestAnswers(answers.map(::written)))

    /** Null if the bytes are no answers. */
    fun parseAnswers(bytes: ByteArray): List<GuestAnswer>? = decode { ProtoBuf.decodeFromByteArray(GuestAnswers.serializer(), bytes) }?.answers?.map(::read)

    private fun written(answer: GuestAnswer): GuestAnswers.Answer =
        when (answer) {
            GuestAnswer.NotItsOwner -> GuestAnswers.Answer(GuestAnswers.Kind.NOT_ITS_OWNER)
            GuestAnswer.NotHeardYet -> GuestAnswers.Answer(GuestAnswers.Kind.NOT_HEARD_YET)
            is GuestAnswer.Told ->
                GuestAnswers.Answer(
                    GuestAnswers.Kind.TOLD,
                    answer.present.map { GuestAnswers.Present(it.task.job, it.task.index, it.attempt, it.state, it.cause) },
                )
        }

    private fun read(answer: GuestAnswers.Answer): GuestAnswer =
        when (answer.kind) {
            GuestAnswers.Kind.NOT_ITS_OWNER -> GuestAnswer.NotItsOwner
            GuestAnswers.Kind.NOT_HEARD_YET -> GuestAnswer.NotHeardYet
            GuestAnswers.Kind.TOLD -> GuestAnswer.Told(answer.present.map { ReportedTask(TaskId(it.job, it.index), it.attempt, it.state, it.cause) })
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
