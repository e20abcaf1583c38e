package org.buckthornhub.instancepool.load

/**
 * What the statements of one daemon showed of an instance.
 *
 * @property time time of statements, in ms
 * @property excess time of statements and of opening connections beyond the usual one, in ms; refusals and failures count as [InstanceLoad.REFUSED_MILLIS]
 * @property failures share of statements that failed
 */
public data class InstanceLoad(
    val time: DecayingMean = DecayingMean(),
    val excess: DecayingMean = DecayingMean(),
    val failures: DecayingMean = DecayingMean(),
    val outlier: OutlierState = OutlierState(),
) {
    internal companion object {
        /** Memory of single instances: a change shows after a few statements. In ms. */
        const val HALF_LIFE_MILLIS = 1_500.0

        /** Failures are rarer than statements, so that their share needs a longer memory. In ms. */
        const val FAILURE_HALF_LIFE_MILLIS = 5_000.0

        /** An instance that refuses has a full queue, and the statement starts again elsewhere; in ms. */
        const val REFUSED_MILLIS = 250.0
    }
}
