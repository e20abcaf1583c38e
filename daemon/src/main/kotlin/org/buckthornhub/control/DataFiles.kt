package org.buckthornhub.control

/**
 * Files of one data folder, by name.
 *
 * The bytes of a file are on disk when a function returns. That a file exists under its name is lost with the power, unless
 * [syncFolder] has returned since it was created or renamed. Fails with an `IOException`.
 */
internal interface DataFiles {
    /** Returns the bytes of a file, or null if there is none of this name. */
    fun read(name: String): ByteArray?

    /** Creates a file or replaces all bytes of an existing one. A crash may leave any part of them. */
    fun write(name: String, bytes: ByteArray)

    /** Appends to an existing file. A crash may leave any part of [bytes]. */
    fun append(name: String, bytes: ByteArray)

    /** Cuts an existing file to [length] bytes. */
    fun truncate(name: String, length: Long)

    /** Gives a file another name, in place of a file that has this name already. */
    fun rename(from: String, to: String)

    /** Makes all names durable. */
    fun syncFolder()
}
