package mintfield.app.leader

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

/** How the leader's writes look in the store, and what guards them besides the leader key. */
class WriteEncoder(
    private val keys: LeaderKeys,
    private val limits: StateLimitsInForce,
    private val lease: Long,
    private val leaderKey: () -> ByteArray,
) {
    fun preconditionsOf(w: Write): List<Precondition> = w.guardedJobs.map { Precondition(Keys.live(it.id), it.revision) }

    fun keyWrites(w: Write): List<KeyWrite> =
        when (w) {
            is Write.RecordRound -> listOf(KeyWrite.Put(keys.round(w.key), RoundCodec.encode(w.record)))
            is Write.DeleteRound -> listOf(KeyWrite.Delete(keys.round(w.key)))
            is Write.FinishJob ->
                listOf(
                    KeyWrite.Put(Keys.final(w.job.spec.id), FinalStateCodec.encode(FinalState(JobPhase.DONE, w.job.spec.tasks, System.currentTimeMillis()))),
                    KeyWrite.Delete(Keys.live(w.job.spec.id)),
                )
            is Write.CancelSuccessor ->
                listOf(
                    KeyWrite.Put(Keys.final(w.job.spec.id), FinalStateCodec.encode(FinalState(JobPhase.CANCELLED, 0, System.currentTimeMillis()))),
                    KeyWrite.Delete(Keys.live(w.job.spec.id)),
                )
            is Write.DeleteJobRecord -> listOf(KeyWrite.Delete(Keys.live(w.job.spec.id)))
            is Write.WriteIntent -> listOf(KeyWrite.Put(keys.intent(w.intent.idempotencyKey), ScaleOutIntentCodec.encode(w.intent)))
            is Write.SaveLearnedState ->
                listOf(
                    KeyWrite.Put(
                        keys.learnedState(w.block),
                        LearnedStateCodec.encode(
                            w.learnedState,
                            (
                                limits.current.valueBytes *
                                    PlacementConstants.MAX_VALUE_FILL
                            ).toInt(),
                        ),
                    ),
                )
            is Write.FenceZone -> listOf(KeyWrite.Put(keys.zoneFences + w.record.key, ZoneFenceCodec.encode(w.record)))
            is Write.LiftZoneFence -> listOf(KeyWrite.Delete(keys.zoneFences + w.key))
            is Write.DeleteIntent -> listOf(KeyWrite.Delete(keys.intent(w.idempotencyKey)))
            Write.RaiseTerm -> listOf(KeyWrite.Put(keys.leader, leaderKey(), lease))
        }
}
