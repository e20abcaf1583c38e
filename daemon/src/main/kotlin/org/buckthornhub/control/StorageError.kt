package org.buckthornhub.control

/** Reason why a data folder can't be opened. The folder was left unchanged. */
internal data class StorageError(val detail: String)
