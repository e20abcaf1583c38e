package org.buckthornhub.connection

import org.buckthornhub.quota.LimitTolerance

/**
 * Settings of sessions.
 *
 * @property keyFreshMillis maximum age of the proof that no key has been revoked; requests are refused when it is older
 * @property freshWaitMillis how long a request waits for a more recent proof
 */
public data class SessionSettings(
    val keyFreshMillis: Long = 4_500,
    val freshWaitMillis: Long = 150,
    val tolerance: LimitTolerance = LimitTolerance(),
)
