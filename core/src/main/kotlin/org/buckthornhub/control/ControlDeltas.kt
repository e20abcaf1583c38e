package org.buckthornhub.control

import org.buckthornhub.organisation.Configuration

/** Computes and applies deltas of the control state. */
public object ControlDeltas {
    /** Returns the delta from [old] to [new]. */
    public fun between(old: ControlState, new: ControlState): ControlDelta {
        val before = old.configuration
        val after = new.configuration
        return ControlDelta(
            from = old.revision,
            to = new.revision,
            plansNumber = after.plans.number,
            grantsNumber = after.grants.number,
            plans = changed(before.plans.plans, after.plans.plans),
            plansRemoved = before.plans.plans.keys - after.plans.plans.keys,
            grants = changed(before.grants.grants, after.grants.grants),
            grantsRemoved = before.grants.grants.keys - after.grants.grants.keys,
            openGroups = after.grants.openGroups.takeIf { it != before.grants.openGroups },
            keys = changed(before.keys, after.keys),
            leaderships = changed(old.leaderships, new.leaderships),
            routeTable = new.routeTable.takeIf { it != old.routeTable },
            designations = new.designations.takeIf { it != old.designations },
            evacuations = new.evacuations.takeIf { it != old.evacuations },
        )
    }

    /** Returns the state after [delta]; null if the delta does not start at the revision of [state]. */
    public fun apply(state: ControlState, delta: ControlDelta): ControlState? {
        if (state.revision != delta.from) return null
        val current = state.configuration
        val plans = current.plans.copy(
            number = delta.plansNumber,
            plans = current.plans.plans - delta.plansRemoved + delta.plans,
        )
        val grants = current.grants.copy(
            number = delta.grantsNumber,
            grants = current.grants.grants - delta.grantsRemoved + delta.grants,
            openGroups = delta.openGroups ?: current.grants.openGroups,
        )
        return ControlState(
            configuration = Configuration(delta.to, plans, grants, current.keys + delta.keys),
            leaderships = state.leaderships + delta.leaderships,
            routeTable = delta.routeTable ?: state.routeTable,
            designations = delta.designations ?: state.designations,
            evacuations = delta.evacuations ?: state.evacuations,
        )
    }

    private fun <K, V> changed(before: Map<K, V>, after: Map<K, V>): Map<K, V> = after.filter { (key, value) -> before[key] != value }
}
