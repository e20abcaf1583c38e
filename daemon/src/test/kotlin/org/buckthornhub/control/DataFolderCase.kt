package org.buckthornhub.control

import java.io.File

/**
 * A change to a data folder between two starts, and the expected result of the second start.
 *
 * @property expectedError part of the expected error; null if the folder opens
 * @property records number of records that are recovered
 */
internal class DataFolderCase(
    private val name: String,
    val expectedError: String?,
    val records: Int,
    val change: (File) -> Unit,
) {
    override fun toString(): String = name
}
