package org.buckthornhub.organisation.wire

import kotlinx.serialization.Serializable

/** An accepted change, in the control state since [revision]. */
@Serializable
public data class ChangeAnswer(val revision: Long)
