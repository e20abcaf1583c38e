package org.buckthornhub.instancepool.load

import kotlin.math.ln
import kotlin.math.pow

/**
 * Ejects an instance that fails more statements than its peers, whatever its health answers say.
 *
 * Addresses instances that fail a part of their statements while they accept connections. A daemon sees one or two statements a
 * second at an instance, too few for a failure rate; a sequential test (CUSUM) decides with as few statements as possible.
 */
internal object OutlierDetector {
    /** Score that ejects: two failures within about nine statements where peers hardly fail. */
    private const val EJECTION_SCORE = 4.0

    /** Failures that every instance has, for example because of the statements themselves. */
    private const val USUAL_FAILURE_SHARE = 0.01

    /** An outlier fails at least this share of its statements. */
    private const val OUTLIER_SHARE = 0.15
    private const val OUTLIER_FACTOR = 4
    private const val MAX_OUTLIER_SHARE = 0.9

    /** Evidence is forgotten within tens of seconds; in ms. */
    private const val SCORE_HALF_LIFE_MILLIS = 10_000.0

    private const val FIRST_PAUSE_MILLIS = 2_000L
    private const val LONGEST_PAUSE_MILLIS = 16_000L

    /** An instance that served for this long after its readmission starts again with the first pause; in ms. */
    private const val FORGIVEN_MILLIS = 30_000L

    /** Adds one statement. @param peerShare share of statements that fail at the other instances of the group */
    fun sampled(state: OutlierState, isFailed: Boolean, peerShare: Double, isLast: Boolean, nowMillis: Long): OutlierState {
        val usual = peerShare.coerceIn(USUAL_FAILURE_SHARE, MAX_OUTLIER_SHARE)
        val outlier = (usual * OUTLIER_FACTOR).coerceIn(OUTLIER_SHARE, MAX_OUTLIER_SHARE)
        val gain = if (isFailed) ln(outlier / usual) else ln((1 - outlier) / (1 - usual))
        val decay = 0.5.pow((nowMillis - state.scoredAtMillis).coerceAtLeast(0) / SCORE_HALF_LIFE_MILLIS)
        val score = (state.score * decay + gain).coerceIn(0.0, EJECTION_SCORE)
        val scored = state.copy(score = score, scoredAtMillis = nowMillis)
        return if (score < EJECTION_SCORE || isLast || state.isEjected(nowMillis)) scored else ejected(scored, nowMillis)
    }

    private fun ejected(state: OutlierState, nowMillis: Long): OutlierState {
        val isRepeated = state.ejections > 0 && nowMillis - state.ejectedUntilMillis < FORGIVEN_MILLIS
        val pause = if (isRepeated) (state.pauseMillis * 2).coerceAtMost(LONGEST_PAUSE_MILLIS) else FIRST_PAUSE_MILLIS
        // Half of the score is kept, so that one failure during the readmission ejects the instance again.
        return state.copy(
            score = EJECTION_SCORE / 2,
            ejectedUntilMillis = nowMillis + pause,
            ejections = state.ejections + 1,
            pauseMillis = pause,
        )
    }
}
