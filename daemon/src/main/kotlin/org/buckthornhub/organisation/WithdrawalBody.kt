package org.buckthornhub.organisation

import kotlinx.serialization.Serializable

/** Names of withdrawn keys that the receiving daemon has to refuse. */
@Serializable
internal data class WithdrawalBody(val keyNames: Set<String>)
