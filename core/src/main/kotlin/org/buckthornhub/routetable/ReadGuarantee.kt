package org.buckthornhub.routetable

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How recent the data has to be that a read sees. */
@Serializable
public sealed interface ReadGuarantee {
    /** Every acknowledged commit. */
    @Serializable
    @SerialName("primary")
    public data object Latest : ReadGuarantee

    /** Every commit that was acknowledged more than [maxAgeMillis] before the read. */
    @Serializable
    @SerialName("bounded")
    public data class BoundedAge(val maxAgeMillis: Long) : ReadGuarantee

    /** As [BoundedAge], and every commit of the same session. */
    @Serializable
    @SerialName("own-writes")
    public data class OwnWrites(val maxAgeMillis: Long) : ReadGuarantee
}
