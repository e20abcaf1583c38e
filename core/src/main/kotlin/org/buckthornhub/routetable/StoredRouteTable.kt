package org.buckthornhub.routetable

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/**
 * A route table with the document that it was parsed from, which operators can read back unchanged.
 *
 * @property document text as the operator sent it; stored only to be read back
 */
@Serializable
public data class StoredRouteTable(
    val table: RouteTable,
    val document: String,
) {
    /** Approximate size of the encoded table and its document, in characters. */
    @Transient
    val chars: Int = document.length * COPIES_OF_DOCUMENT +
        table.organisations.values.sumOf { it.keys.size } * CHARS_OF_KEY +
        (table.routes.size + table.organisations.size + table.groups.size) * CHARS_OF_ENTRY

    public companion object {
        /** The document with its escapes, and its texts in the table. */
        private const val COPIES_OF_DOCUMENT = 3

        /** A digest in quotes. */
        private const val CHARS_OF_KEY = 67

        /** Names and values of the fields that a document may leave out. */
        private const val CHARS_OF_ENTRY = 200
    }
}
