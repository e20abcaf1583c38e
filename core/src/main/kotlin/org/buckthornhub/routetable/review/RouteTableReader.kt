package org.buckthornhub.routetable.review

/** Reads route table documents in the format of a front end, which registers its reader as a service. */
public interface RouteTableReader {
    /** HTTP path at which control VMs return the document in force. */
    public val path: String

    public fun read(document: String): ReviewedDocument
}
