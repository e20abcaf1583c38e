package org.buckthornhub.load.report

/**
 * One chart over the time of a run, drawn as SVG.
 *
 * @property marks time in ms since the start and label of each fault
 */
internal data class LineChart(
    val title: String,
    val unit: String,
    val series: List<Series>,
    val durationMillis: Long,
    val marks: List<Pair<Long, String>>,
) {
    fun toSvg(): String {
        val top = (series.flatMap { it.values }.maxOrNull() ?: 0.0).coerceAtLeast(1.0)
        val lines = series.mapIndexed { index, one -> polyline(one, index, top) + legend(one, index) }
        return """<svg viewBox="0 0 $WIDTH $HEIGHT" role="img"><text x="$LEFT" y="18" class="title">${escape(title)}</text>""" +
            axes(top) + marks.joinToString("") { (atMillis, label) -> mark(atMillis, label) } + lines.joinToString("") + "</svg>"
    }

    private fun axes(top: Double): String {
        val grid = (0..GRID_LINES).joinToString("") { step ->
            val y = BOTTOM - step * PLOT_HEIGHT / GRID_LINES
            val value = top * step / GRID_LINES
            """<line x1="$LEFT" x2="$RIGHT" y1="$y" y2="$y" class="grid"/><text x="${LEFT - GAP}" y="${y + HALF_LETTER}" class="tick">${"%.1f".format(
                value,
            )}</text>"""
        }
        val seconds = (0..durationMillis / MILLIS_PER_SECOND).joinToString("") {
            """<text x="${x(it * MILLIS_PER_SECOND)}" y="${BOTTOM + LINE_HEIGHT}" class="second">$it s</text>"""
        }
        return grid + seconds + """<text x="$LEFT" y="34" class="unit">${escape(unit)}</text>"""
    }

    private fun polyline(one: Series, index: Int, top: Double): String {
        val step = durationMillis.toDouble() / one.values.size.coerceAtLeast(1)
        val points = one.values.mapIndexed { at, value ->
            "${x(((at + HALF) * step).toLong())},${"%.1f".format(BOTTOM - value / top * PLOT_HEIGHT)}"
        }
        return """<polyline points="${points.joinToString(" ")}" stroke="${colour(index)}"/>"""
    }

    private fun legend(one: Series, index: Int): String =
        """<text x="${RIGHT + GAP}" y="${LEGEND_TOP + index * LEGEND_STEP}" fill="${colour(
            index,
        )}" class="legend">${escape(one.name)}</text>"""

    private fun mark(atMillis: Long, label: String): String {
        val x = x(atMillis)
        return """<line x1="$x" x2="$x" y1="$LEGEND_TOP" y2="$BOTTOM" class="fault"/>""" +
            """<text x="${x + GAP}" y="${LEGEND_TOP + GAP}" class="fault">${escape(
                label,
            )}</text>"""
    }

    private fun x(atMillis: Long): Long = LEFT + atMillis * (RIGHT - LEFT) / durationMillis.coerceAtLeast(1)

    private fun colour(index: Int): String = COLOURS[index % COLOURS.size]

    private fun escape(text: String): String = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")

    private companion object {
        const val WIDTH = 1_000
        const val HEIGHT = 260
        const val LEFT = 60
        const val RIGHT = 840
        const val BOTTOM = 220
        const val PLOT_HEIGHT = 170
        const val GRID_LINES = 4
        const val LEGEND_TOP = 50
        const val LEGEND_STEP = 18
        const val MILLIS_PER_SECOND = 1_000L
        const val GAP = 6
        const val HALF_LETTER = 4
        const val LINE_HEIGHT = 16
        const val HALF = 0.5
        val COLOURS = listOf("#1b6ca8", "#c0392b", "#1e8449", "#8e44ad", "#b9770e", "#117a65", "#7b241c", "#34495e")
    }
}
