package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.group.Term

/** Promotes a target to primary of its group in [term]; refused unless the term is newer than the target's. */
@Serializable
public data class PromoteRequest(val term: Term)
