package org.buckthornhub.load.check

/** The broken promises of a run, by sort. */
public data class Findings(
    val readYourWrites: List<Violation>,
    val lostWrites: List<Violation>,
    val doubledWrites: List<Violation>,
    val misdirectedAnswers: List<Violation>,
    val mixedTransactions: List<Violation>,
    val wrongfulRefusals: List<Violation>,
) {
    /** True if no answer was wrong, no write was lost or doubled and no transaction was mixed. */
    public val isCorrect: Boolean
        get() = (readYourWrites + lostWrites + doubledWrites + misdirectedAnswers + mixedTransactions).isEmpty()

    /** Every sort with its violations, for people. */
    public fun bySort(): Map<String, List<Violation>> = mapOf(
        "reads that miss an own write" to readYourWrites,
        "lost writes" to lostWrites,
        "doubled writes" to doubledWrites,
        "misdirected answers" to misdirectedAnswers,
        "mixed transactions" to mixedTransactions,
        "wrongful refusals" to wrongfulRefusals,
    )

    public companion object {
        /** Runs every check on [evidence]. */
        public fun of(evidence: Evidence): Findings = Findings(
            readYourWrites = ReadYourWritesCheck().violations(evidence),
            lostWrites = LostWritesCheck().violations(evidence),
            doubledWrites = DoubledWritesCheck().violations(evidence),
            misdirectedAnswers = MisdirectedAnswersCheck().violations(evidence),
            mixedTransactions = MixedTransactionsCheck().violations(evidence),
            wrongfulRefusals = WrongfulRefusalsCheck().violations(evidence),
        )
    }
}
