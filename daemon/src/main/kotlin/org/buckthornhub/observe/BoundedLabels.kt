package org.buckthornhub.observe

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/** Bounds the cardinality of a metric label: the first [max] names get a label each, all later ones share "other". */
internal data class BoundedLabels(
    private val max: Int,
    private val known: PersistentSet<String> = persistentSetOf(),
) {
    fun with(name: String): BoundedLabels = if (name in known || known.size >= max) this else copy(known = known.add(name))

    fun labelOf(name: String): String = if (name in known) name else OTHER

    internal companion object {
        const val OTHER = "other"
    }
}
