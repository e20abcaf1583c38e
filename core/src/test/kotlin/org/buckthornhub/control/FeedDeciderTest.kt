package org.buckthornhub.control

import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.organisation.Configuration
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.KeyRecord
import org.buckthornhub.organisation.OrganisationId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals

internal class FeedDeciderTest {
    private val decider = FeedDecider()
    private val start = FeedState(persistentListOf("c1", "c2"))

    @ParameterizedTest
    @MethodSource("cases")
    fun `messages lead to the expected state and source`(case: FeedCase) {
        val state = case.messages.fold(start) { state, (millis, message) -> decider.decide(state, message, millis).state }
        assertEquals(case.revision, state.view.state.revision)
        assertEquals(case.freshMillis, state.view.freshMillis)
        assertEquals(case.source, state.source)
        assertEquals(case.withdrawn, state.configuration.keys.values.filter { it.withdrawn }.map { it.keyName }.toSet())
    }

    @Test
    fun `each withdrawal is reported once, wherever it originated`() {
        val messages = listOf(
            FeedMessage.Start,
            answered(1, answer(1)),
            FeedMessage.Withdraw(setOf("k1")),
            answered(2, answer(1, withdrawn = setOf("k1"))),
            answered(3, answer(2, keyWithdrawn = true)),
        )
        val effects = messages.fold(start to emptyList<FeedEffect>()) { (state, effects), message ->
            decider.decide(state, message, 100).let { it.state to effects + it.effects }
        }.second
        assertEquals(listOf(setOf("k1"), emptySet()), effects.filterIsInstance<FeedEffect.SaveWithdrawn>().map { it.keyNames })
        assertEquals(
            listOf(setOf("k1")),
            effects.filterIsInstance<FeedEffect.KeysWithdrawn>().map { effect ->
                effect.keys.map { it.keyName }.toSet()
            },
        )
    }

    @Test
    fun `applying a delta gives the same state as the complete one`() {
        val old = state(1, keyWithdrawn = false)
        val new = state(2, keyWithdrawn = true)
        assertEquals(new, ControlDeltas.apply(old, ControlDeltas.between(old, new)))
        assertEquals(null, ControlDeltas.apply(new, ControlDeltas.between(old, new)))
    }

    private companion object {
        private fun state(revision: Long, keyWithdrawn: Boolean): ControlState {
            val key = KeyDigest.of(ApiKey("x")) to KeyRecord("k1", OrganisationId("o"), keyWithdrawn)
            return ControlState(Configuration(revision, keys = mapOf(key)))
        }

        private fun answer(revision: Long, age: Long? = 0, held: Long = 0, withdrawn: Set<String>? = null, keyWithdrawn: Boolean = false) =
            FeedAnswer(revision, age, held, snapshot = state(revision, keyWithdrawn), withdrawn = withdrawn)

        private fun answered(attempt: Long, answer: FeedAnswer, asked: Long = 100) = FeedMessage.AnswerReceived(attempt, asked, answer)

        private val started = 0L to FeedMessage.Start

        @JvmStatic
        fun cases(): List<FeedCase> = listOf(
            FeedCase("first state", listOf(started, 110L to answered(1, answer(5))), 5, 100, "c1"),
            FeedCase(
                "answer to a request that was held open",
                listOf(started, 610L to answered(1, answer(5, age = 20, held = 500))),
                5,
                580,
                "c1",
            ),
            FeedCase(
                "an older state never replaces a newer one, nor makes it fresher",
                listOf(started, 110L to answered(1, answer(5)), 220L to answered(2, answer(3), asked = 200)),
                5,
                100,
                "c1",
            ),
            FeedCase(
                "an answer to an earlier request is ignored",
                listOf(started, 50L to FeedMessage.Failed(1), 110L to answered(1, answer(5))),
                0,
                null,
                "c2",
            ),
            FeedCase(
                "a stale source",
                listOf(started, 2_010L to answered(1, answer(5, age = 1_500), asked = 2_000)),
                5,
                500,
                "c2",
            ),
            FeedCase(
                "confirmed before the local clock started",
                listOf(started, 110L to answered(1, answer(5, age = 1_500))),
                5,
                -1_400,
                "c2",
            ),
            FeedCase(
                "confirmed in the future of the source",
                listOf(started, 110L to answered(1, answer(5, age = -17_366_834))),
                5,
                null,
                "c2",
            ),
            FeedCase(
                "held open for longer than the request took",
                listOf(started, 610L to answered(1, answer(5, age = 20, held = 5_000))),
                5,
                590,
                "c1",
            ),
            FeedCase(
                "a source whose state was never confirmed",
                listOf(started, 110L to answered(1, answer(0, age = null))),
                0,
                null,
                "c2",
            ),
            FeedCase("an answer that arrived late", listOf(started, 2_000L to answered(1, answer(5))), 5, 100, "c2"),
            FeedCase(
                "cut off from control, the state comes from a peer",
                listOf(
                    started,
                    1L to FeedMessage.PeersChanged(listOf("p1")),
                    50L to FeedMessage.Failed(1),
                    60L to FeedMessage.Failed(2),
                    110L to answered(3, answer(5, age = 60)),
                ),
                5,
                40,
                "p1",
            ),
            FeedCase(
                "withdrawn locally before the key is known",
                listOf(started, 1L to FeedMessage.Withdraw(setOf("k1")), 110L to answered(1, answer(5))),
                5,
                100,
                "c1",
                setOf("k1"),
            ),
            FeedCase(
                "withdrawn at a peer",
                listOf(started, 110L to answered(1, answer(5, withdrawn = setOf("k1")))),
                5,
                100,
                "c1",
                setOf("k1"),
            ),
            FeedCase(
                "a newer state without the withdrawal does not undo it",
                listOf(started, 110L to answered(1, answer(5)), 120L to FeedMessage.Withdraw(setOf("k1")), 210L to answered(2, answer(6))),
                6,
                100,
                "c1",
                setOf("k1"),
            ),
        )
    }
}
