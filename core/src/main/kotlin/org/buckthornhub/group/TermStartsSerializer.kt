package org.buckthornhub.group

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Serializes term starts as a plain JSON map. */
internal object TermStartsSerializer : KSerializer<PersistentMap<Term, LogPosition>> {
    private val delegate = MapSerializer(Term.serializer(), LogPosition.serializer())
    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(encoder: Encoder, value: PersistentMap<Term, LogPosition>): Unit = delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): PersistentMap<Term, LogPosition> = delegate.deserialize(decoder).toPersistentMap()
}
