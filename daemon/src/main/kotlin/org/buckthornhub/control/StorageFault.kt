package org.buckthornhub.control

/** Why a data folder can't be used; nothing in it was changed. */
internal data class StorageFault(val detail: String)
