package org.buckthornhub.connection

import com.github.michaelbull.result.get
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ErrorTable
import org.buckthornhub.error.Execution
import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.routetable.DatabaseRoute
import org.buckthornhub.routetable.OrganisationAccess
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.routetable.RouteTable
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Callers and begun work under a route table that has changed. */
internal class AdmissionRulesTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a new statement runs for the holder of the key`(case: AdmissionCase) {
        val admitted = AdmissionRules.admit(tableOf(case), database, key)
        assertEquals(case.admitted, admitted.get()?.organisation?.value)
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `a transaction goes on for the organisation that it began for, or not at all`(case: AdmissionCase) {
        val refusal = AdmissionRules.refusalInTransaction(OrganisationId(case.organisation), tableOf(case), database, key)
        assertEquals(case.inTransaction, refusal?.kind)
        if (refusal != null) assertTrue(ErrorTable.answerTo(refusal.kind).execution in nothingKept)
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `a statement that has waited runs for the organisation that it was admitted for, or not at all`(case: AdmissionCase) {
        val refusal = AdmissionRules.refusalAfterWait(OrganisationId(case.organisation), tableOf(case), database, key)
        assertEquals(case.afterWait, refusal?.kind)
        if (refusal != null) assertEquals(Execution.NOT_RUN, ErrorTable.answerTo(refusal.kind).execution)
    }

    private companion object {
        private val key = KeyDigest.of(ApiKey("key"))
        private val database = DatabaseName("d")
        private val nothingKept = setOf(Execution.NOT_RUN, Execution.NO_EFFECT)
        private val aborted = ErrorKind.TRANSACTION_ABORTED
        private val keyUnknown = ErrorKind.KEY_UNKNOWN
        private val full = ErrorKind.QUEUE_FULL
        private val databaseUnknown = ErrorKind.DATABASE_UNKNOWN

        private fun tableOf(case: AdmissionCase): RouteTable {
            val route = case.isAnonymous?.let {
                DatabaseRoute("r", database, GroupId("g"), ReadGuarantee.Latest, 800, 400, isAnonymous = it)
            }
            val organisations = listOf("o", "p").associate { name ->
                val keys = if (name == case.holder) setOf(key) else emptySet()
                OrganisationId(name) to OrganisationAccess(OrganisationId(name), keys, 100.0, 100.0)
            }
            return RouteTable(1, listOfNotNull(route).associateBy { it.database }, organisations = organisations)
        }

        @JvmStatic
        fun cases(): List<AdmissionCase> = listOf(
            AdmissionCase("the key is where it was", "o", "o", false, "o", null, null),
            AdmissionCase("the key moved", "o", "p", false, "p", aborted, full),
            AdmissionCase("the key was withdrawn", "o", null, false, null, keyUnknown, keyUnknown),
            AdmissionCase("the key is where it was, the route is anonymous", "o", "o", true, "o", null, null),
            AdmissionCase("the key moved, the route is anonymous", "o", "p", true, "p", aborted, full),
            AdmissionCase("the key was withdrawn, the route is anonymous", "o", null, true, "-", aborted, full),
            AdmissionCase("no key, the route is anonymous", "-", null, true, "-", null, null),
            AdmissionCase("no key, given out, the route is anonymous", "-", "p", true, "p", aborted, full),
            AdmissionCase("no key, given out, the route is no longer anonymous", "-", "p", false, "p", aborted, full),
            AdmissionCase("no key, the route is no longer anonymous", "-", null, false, null, keyUnknown, null),
            AdmissionCase("the route is gone", "o", "o", null, null, databaseUnknown, null),
            AdmissionCase("the route is gone and the key moved", "o", "p", null, null, databaseUnknown, databaseUnknown),
            AdmissionCase("the route is gone and the key was withdrawn", "o", null, null, null, databaseUnknown, databaseUnknown),
        )
    }
}
