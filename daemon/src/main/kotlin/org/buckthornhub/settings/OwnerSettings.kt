package org.buckthornhub.settings

import org.buckthornhub.target.owner.OwnerLimits
import org.buckthornhub.target.owner.WriteAcknowledgement

/** Reads the time limits and the write acknowledgement of target owners from sections `target`, `transaction` and `write`. */
internal fun ownerLimits(values: ValueReader): OwnerLimits = OwnerLimits(
    silenceMillis = values.whole("target.silence_ms"),
    transactionIdleMillis = values.whole("transaction.idle_ms"),
    transactionTotalMillis = values.whole("transaction.total_ms"),
    acknowledgement =
    when (values.text("write.acknowledge")) {
        "primary" -> WriteAcknowledgement.PRIMARY
        else -> WriteAcknowledgement.SECOND_INSTANCE
    },
)
