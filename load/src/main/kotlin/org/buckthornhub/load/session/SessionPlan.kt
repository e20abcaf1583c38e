package org.buckthornhub.load.session

/**
 * What one session does.
 *
 * @property name `ORGANISATION/RUN-NUMBER`; the keys that it writes begin with it
 * @property neighbour session whose data it also reads
 * @property offeredPerSecond statements a second that it tries to send
 * @property readShare part of its statements that read, from 0 to 1
 * @property acceptedAgesMillis ages that some of its reads of foreign data accept
 */
public data class SessionPlan(
    val organisation: String,
    val name: String,
    val neighbour: String,
    val groups: List<String>,
    val offeredPerSecond: Double,
    val readShare: Double,
    val insertShare: Double = 0.05,
    val acceptedAgesMillis: List<Long> = emptyList(),
    val resendLimitMillis: Long = 2_000,
)
