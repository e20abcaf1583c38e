package org.buckthornhub.instancepool

/** Divides the connections that an instance takes among the daemons of the fleet. */
public object ConnectionShare {
    /** Connections of an instance that are left to control VMs and to daemons that just started. */
    private const val RESERVED = 3

    /** A fleet that has not yet heard of all its daemons is taken to be at least this large. */
    private const val FEWEST_DAEMONS = 7

    /**
     * How many of [all] connections the daemon with [rank] among [daemons] may hold, at least one.
     *
     * What does not divide goes to the first daemons.
     */
    public fun of(all: Int, rank: Int, daemons: Int): Int {
        val count = maxOf(daemons, FEWEST_DAEMONS)
        return ((all - RESERVED + count - 1 - rank.coerceIn(0, count - 1)) / count).coerceAtLeast(1)
    }
}
