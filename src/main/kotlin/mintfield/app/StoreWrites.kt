package mintfield.app

import mintfield.core.Tuning
import mintfield.core.Write
import mintfield.core.model.FinalState
import mintfield.core.model.Stage
import mintfield.core.model.StateLimitsInForce
import mintfield.io.store.Guard
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.LeaderKeys
import mintfield.io.store.Records

/** How the leader's writes look in the state service, and what guards them besides the leader key. */
class StoreWrites(
    private val keys: LeaderKeys,
    private val limits: StateLimitsInForce,
    private val lease: Long,
    private val leaderKey: () -> ByteArray,
) {
    fun guardsOf(w: Write): List<Guard> = w.guarded.map { Guard(Keys.live(it.id), it.mark) }

    fun keyWrites(w: Write): List<KeyWrite> =
        when (w) {
            is Write.RecordRound -> listOf(KeyWrite.Put(keys.round(w.key), Records.round(w.record)))
            is Write.SweepRound -> listOf(KeyWrite.Delete(keys.round(w.key)))
            is Write.Finish ->
                listOf(
                    KeyWrite.Put(Keys.final(w.job.spec.id), Records.final(FinalState(Stage.DONE, w.job.spec.tasks, System.currentTimeMillis()))),
                    KeyWrite.Delete(Keys.live(w.job.spec.id)),
                )
            is Write.CancelSuccessor ->
                listOf(
                    KeyWrite.Put(Keys.final(w.job.spec.id), Records.final(FinalState(Stage.WITHDRAWN, 0, System.currentTimeMillis()))),
                    KeyWrite.Delete(Keys.live(w.job.spec.id)),
                )
            is Write.Sweep -> listOf(KeyWrite.Delete(Keys.live(w.job.spec.id)))
            is Write.Intend -> listOf(KeyWrite.Put(keys.intent(w.intent.plea), Records.intent(w.intent)))
            is Write.Remember -> listOf(KeyWrite.Put(keys.hints(w.block), Records.hints(w.hints, (limits.current.valueBytes * Tuning.VALUE_FILL).toInt())))
            is Write.Disown -> listOf(KeyWrite.Put(keys.disowned + w.record.key, Records.disowned(w.record)))
            is Write.Own -> listOf(KeyWrite.Delete(keys.disowned + w.key))
            is Write.DropIntent -> listOf(KeyWrite.Delete(keys.intent(w.plea)))
            Write.RaiseTerm -> listOf(KeyWrite.Put(keys.leader, leaderKey(), lease))
        }
}
