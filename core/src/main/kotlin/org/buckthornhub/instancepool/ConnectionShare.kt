package org.buckthornhub.instancepool

/** Divides the connections that an instance accepts among the daemons of the fleet. */
public object ConnectionShare {
    /** Connections of each instance that are reserved for control VMs and for daemons that have just started. */
    private const val RESERVED = 3

    /** Smallest fleet size to assume, because a daemon may not know all other daemons yet. */
    private const val MIN_FLEET_SIZE = 7

    /**
     * Returns how many of the [all] connections the daemon with [rank] among [daemons] may hold; at least one.
     *
     * The remainder of the division goes to the daemons with the lowest ranks.
     */
    public fun of(all: Int, rank: Int, daemons: Int): Int {
        val count = maxOf(daemons, MIN_FLEET_SIZE)
        return ((all - RESERVED + count - 1 - rank.coerceIn(0, count - 1)) / count).coerceAtLeast(1)
    }
}
