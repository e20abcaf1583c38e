package org.buckthornhub.http

/**
 * Large body that is compressed once, and sent as it is to peers that accept it.
 *
 * @property gzip the compressed bytes
 * @property text the text, encoded anew for each of the other peers
 */
public class CompressedBody(
    public val gzip: ByteArray,
    public val text: () -> String,
)
