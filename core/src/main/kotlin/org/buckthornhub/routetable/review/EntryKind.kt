package org.buckthornhub.routetable.review

/** Kind of an entry of a route table document. */
public enum class EntryKind { TABLE, ROUTE, GROUP, ORGANISATION }
