package org.buckthornhub.routetable

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Which commits a read has to observe. */
@Serializable
public sealed interface ReadGuarantee {
    /** A read observes every acknowledged commit. */
    @Serializable
    @SerialName("primary")
    public data object Latest : ReadGuarantee

    /** Bounded staleness: a read observes every commit that was acknowledged more than [maxAgeMillis] before it. */
    @Serializable
    @SerialName("bounded")
    public data class BoundedAge(val maxAgeMillis: Long) : ReadGuarantee

    /** Read-your-writes: as [BoundedAge], and a read also observes every commit of its own session. */
    @Serializable
    @SerialName("own-writes")
    public data class OwnWrites(val maxAgeMillis: Long) : ReadGuarantee
}
