package org.buckthornhub.connection

/** What one attempt of a statement meets. @property replaces whether another instance is designated while the statement runs */
internal data class AttemptStep(
    val name: String,
    val fault: FakeFault? = null,
    val replaces: Boolean = false,
)
