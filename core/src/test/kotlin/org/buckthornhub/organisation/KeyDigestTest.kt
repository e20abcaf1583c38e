package org.buckthornhub.organisation

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertFailsWith
import kotlin.test.assertNotEquals

/** Keys that got the digest of another one, as a half of a surrogate pair was hashed as a question mark. */
internal class KeyDigestTest {
    @ParameterizedTest
    @ValueSource(strings = ["\ud800", "a\udc00", "\udc00\ud800"])
    fun `a key that is no text has no digest`(secret: String) {
        assertFailsWith<IllegalArgumentException> { KeyDigest.of(ApiKey(secret)) }
    }

    @Test
    fun `keys that differ have different digests`() {
        val secrets = listOf("?", "\ufffd", "\u00e9", "e\u0301", "\ud83d\ude00")
        for (a in secrets) for (b in secrets - a) assertNotEquals(KeyDigest.of(ApiKey(a)), KeyDigest.of(ApiKey(b)))
    }
}
