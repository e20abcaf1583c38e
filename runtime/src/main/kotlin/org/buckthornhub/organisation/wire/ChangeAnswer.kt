package org.buckthornhub.organisation.wire

import kotlinx.serialization.Serializable

/** Response to an accepted change, which the control state contains from [revision] on. */
@Serializable
public data class ChangeAnswer(val revision: Long)
