package org.buckthornhub.quota

/**
 * Operations of one organisation that a daemon may admit in a window while it can't reach the reserve.
 *
 * @property fixed number where the load is not considered
 * @property usual number for an organisation whose reserve was not low when this daemon last heard of it
 * @property inFlood number for one whose reserve was, so that the window may hold the whole burst already
 */
public data class FallbackTokens(
    val fixed: Int = 0,
    val usual: Int = 0,
    val inFlood: Int = 0,
)
