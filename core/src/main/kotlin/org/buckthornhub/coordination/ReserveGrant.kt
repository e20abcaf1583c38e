package org.buckthornhub.coordination

import kotlinx.serialization.Serializable

/**
 * Tokens granted by the control leader from its reserve.
 *
 * @property tokens granted tokens; 0 if none are left, or if the VM may no longer be the leader
 * @property retryAfterMillis time in ms until the first of the missing tokens
 * @property spacingMillis time in ms between those tokens
 * @property isUnavailable true if the VM may no longer be the leader, so that its lack of tokens says nothing about the limit
 * @property isLow true if so much of the burst is used that the organisation may be about to exceed its limit
 */
@Serializable
public data class ReserveGrant(
    val tokens: Int,
    val retryAfterMillis: Long = 0,
    val spacingMillis: Long = 0,
    val isUnavailable: Boolean? = null,
    val isLow: Boolean? = null,
)
