package org.buckthornhub.failover

/**
 * @property leaderlessMillis how long a group may show no primary before one is chosen; two announcements of an instance
 * @property surveyMillis how long candidates are waited for; some round trips between availability zones and a busy slot
 * @property settleMillis how long a promoted instance may take to announce itself; a promotion takes some hundred ms
 */
public data class FailoverSettings(
    val leaderlessMillis: Long = 2_500,
    val surveyMillis: Long = 400,
    val settleMillis: Long = 3_000,
)
