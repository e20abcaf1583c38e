package org.buckthornhub.load.report

/** One line of a chart: a value for each interval of the run. */
internal data class Series(
    val name: String,
    val values: List<Double>,
)
