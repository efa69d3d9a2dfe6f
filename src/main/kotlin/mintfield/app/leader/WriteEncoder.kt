package mintfield.app.leader

import mintfield.core.LearnedState
import mintfield.core.Write
import mintfield.core.constants.PlacementConstants
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.core.model.StateLimitsInForce
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.LeaderKeys
import mintfield.io.store.LearnedStateCodec
import mintfield.io.store.Precondition
import mintfield.io.store.RoundCodec
import mintfield.io.store.ScaleOutIntentCodec
import mintfield.io.store.ZoneFenceCodec

/** Encodes the scheduler's writes as keys and values of the store. */
class WriteEncoder(
    private val keys: LeaderKeys,
    private val limits: StateLimitsInForce,
    private val tenure: LeaderTenure,
) {
    /** The preconditions of [write], without the one on the leader key. */
    fun preconditionsOf(write: Write): List<Precondition> {
        val ofJobs = write.guardedJobs.map { Precondition(Keys.live(it.id), it.revision) }
        return if (write is Write.RecordRound) ofJobs + Precondition(keys.round(write.key), ABSENT) else ofJobs
    }

    /** The keys that [write] puts and deletes. */
    fun keyWrites(write: Write): List<KeyWrite> =
        when (write) {
            is Write.RecordRound -> listOf(KeyWrite.Put(keys.round(write.key), RoundCodec.encode(write.record)))
            is Write.DeleteRound -> listOf(KeyWrite.Delete(keys.round(write.key)))
            is Write.FinishJob -> end(write.job.spec.id, FinalState(JobPhase.DONE, write.job.spec.tasks, System.currentTimeMillis()))
            is Write.CancelSuccessor -> end(write.job.spec.id, FinalState(JobPhase.CANCELLED, 0, System.currentTimeMillis()))
            is Write.DeleteJobRecord -> listOf(KeyWrite.Delete(Keys.live(write.job.spec.id)))
            is Write.WriteIntent -> listOf(KeyWrite.Put(keys.intent(write.intent.idempotencyKey), ScaleOutIntentCodec.encode(write.intent)))
            is Write.SaveLearnedState -> listOf(KeyWrite.Put(keys.learnedState(write.block), encode(write.learnedState)))
            is Write.FenceZone -> listOf(KeyWrite.Put(keys.zoneFences + write.record.key, ZoneFenceCodec.encode(write.record)))
            is Write.LiftZoneFence -> listOf(KeyWrite.Delete(keys.zoneFences + write.key))
            is Write.DeleteIntent -> listOf(KeyWrite.Delete(keys.intent(write.idempotencyKey)))
            Write.RaiseTerm -> listOf(KeyWrite.Put(keys.leader, tenure.keyValue(), tenure.lease))
        }

    private fun end(
        job: String,
        state: FinalState,
    ): List<KeyWrite> = listOf(KeyWrite.Put(Keys.final(job), FinalStateCodec.encode(state)), KeyWrite.Delete(Keys.live(job)))

    private fun encode(learnedState: LearnedState): ByteArray {
        val maxBytes = limits.current.valueBytes * PlacementConstants.MAX_VALUE_FILL
        return LearnedStateCodec.encode(learnedState, maxBytes.toInt())
    }

    private companion object {
        /** The revision of a key that does not exist. */
        const val ABSENT = 0L
    }
}
