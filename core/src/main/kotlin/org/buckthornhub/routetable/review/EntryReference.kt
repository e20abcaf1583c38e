package org.buckthornhub.routetable.review

/** Names an entry of a document: the entry of [kind] at [index], counted from 0 in the order of the document. */
public data class EntryReference(
    val kind: EntryKind,
    val index: Int,
) {
    public companion object {
        /** The document as a whole. */
        public val TABLE: EntryReference = EntryReference(EntryKind.TABLE, 0)
    }
}
