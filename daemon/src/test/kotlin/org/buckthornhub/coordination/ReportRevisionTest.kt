package org.buckthornhub.coordination

import org.buckthornhub.fleet.VmId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

internal class ReportRevisionTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a report is held open while the leader has nothing new for it`(case: RevisionCase) {
        val revision =
            ReportRevision(
                case.isLeader,
                controlTerm = 3,
                tableVersion = 5,
                directoryRevision = 5,
                designationRevision = 5,
                evacuationRevision = 5,
            )
        assertEquals(case.isAnswered, revision.isNewTo(case.report))
    }

    private companion object {
        private val current =
            ProxyReport(
                VmId("vm"),
                tableVersion = 5,
                controlTerm = 3,
                directoryRevision = 5,
                designationRevision = 5,
                evacuationRevision = 5,
            )

        @JvmStatic
        fun cases(): List<RevisionCase> = listOf(
            RevisionCase("the daemon knows everything", current, isAnswered = false),
            RevisionCase("an older table", current.copy(tableVersion = 4), isAnswered = true),
            RevisionCase("a newer table than the leader's", current.copy(tableVersion = 6), isAnswered = false),
            RevisionCase("an older directory", current.copy(directoryRevision = 4), isAnswered = true),
            RevisionCase("a directory of another leader", current.copy(controlTerm = 2), isAnswered = true),
            RevisionCase("older designations", current.copy(designationRevision = 4), isAnswered = true),
            RevisionCase("older evacuations", current.copy(evacuationRevision = 4), isAnswered = true),
            RevisionCase("a VM that does not lead", current, isAnswered = true, isLeader = false),
        )
    }
}
