package org.buckthornhub.instancepool

/** Divides the connections that an instance accepts among the daemons of the fleet. */
public object ConnectionShare {
    /** Connections of each instance that are reserved for control VMs and for daemons that have just started. */
    private const val RESERVED = 3

    /** Below this share of connections for each daemon, none is kept idle. */
    private const val MIN_KEPT = 2

    /** Connections that a daemon may use at once where none is kept, as a fraction of those that the instance accepts. */
    private const val BURST_DIVISOR = 16

    /** Smallest fleet size to assume, because a daemon may not know all other daemons yet. */
    private const val MIN_FLEET_SIZE = 7

    /**
     * Returns how many of the [all] connections the daemon with [rank] among [daemons] may hold; at least one.
     *
     * The remainder of the division goes to the daemons with the lowest ranks. Where connections are short-lived, a daemon may
     * open more than its share, as few daemons use the same instance at the same time.
     */
    public fun of(all: Int, rank: Int, daemons: Int): Int {
        val count = maxOf(daemons, MIN_FLEET_SIZE)
        if (isShortLived(all, daemons)) return (all / BURST_DIVISOR).coerceAtLeast(1)
        return ((all - RESERVED + count - 1 - rank.coerceIn(0, count - 1)) / count).coerceAtLeast(1)
    }

    /**
     * Returns whether connections are closed soon after use instead of being kept.
     *
     * Answers the load of a large fleet, each daemon of which serves a little of every organisation: kept connections would fill
     * the instance and hardly ever fit the next statement, as each belongs to one organisation.
     */
    public fun isShortLived(all: Int, daemons: Int): Boolean = (all - RESERVED) / maxOf(daemons, MIN_FLEET_SIZE) < MIN_KEPT
}
