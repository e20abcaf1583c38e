package org.buckthornhub.organisation

import kotlinx.serialization.Serializable

/** Names of keys that a daemon has to refuse from now on. */
@Serializable
internal data class WithdrawalBody(val keyNames: Set<String>)
