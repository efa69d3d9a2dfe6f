package mintfield.app.sharing

import mintfield.core.ownership.ShareSettings

/** What a controller's part in the leadership of one share needs besides that in the only leadership. */
class SharePart(
    val share: ShareSettings,
    val activation: SharingActivation,
    /** How long to wait now before standing for the share. */
    val standDelayMs: () -> Long,
    /** Makes what a new leader of the share needs. */
    val leader: () -> ShareLeader,
)
