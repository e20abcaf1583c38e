package org.buckthornhub.proxy

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.test.runTest
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.limit.AdmitInterceptor
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.organisation.AuthenticateInterceptor
import org.buckthornhub.organisation.AuthorizeInterceptor
import org.buckthornhub.organisation.Configuration
import org.buckthornhub.organisation.Grant
import org.buckthornhub.organisation.GrantList
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.KeyRecord
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.organisation.PlanId
import org.buckthornhub.organisation.PlanList
import org.buckthornhub.routing.ReplicaRoutePolicy
import org.buckthornhub.routing.RouteInterceptor
import org.buckthornhub.session.ResumeSessionInterceptor
import org.buckthornhub.session.Session
import org.buckthornhub.session.SessionCodec
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.RequestId
import org.buckthornhub.statement.Statement
import org.buckthornhub.target.ExecuteInterceptor
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Tests the whole request path without a front end; HTTP requests pass through the same interceptors. */
internal class RequestPathTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a request is served by the expected target or fails with the expected error`(case: PathCase) = runTest {
        val result = proxy().execute(requestOf(case))
        assertEquals(case.error, result.getError()?.kind)
        assertEquals(case.target, result.get()?.answer?.target?.value)
    }

    private fun requestOf(case: PathCase): ProxyRequest {
        val statement = Statement(group = case.group, access = case.access, text = "get x", repeatable = true)
        return ProxyRequest(
            key = case.key,
            sessionToken = case.rawSession ?: case.session?.let { codec.encode(it) },
            operation = Operation.Run(statement),
            requestId = RequestId("r1"),
            deadlineMillis = 1_000,
        )
    }

    private fun proxy(): Proxy {
        val configuration = StateSource { configuration }
        val clock =
            object : Clock {
                override fun nowMillis() = 0L

                override fun wallMillis() = 0L
            }
        return Proxy(
            persistentListOf(
                AuthenticateInterceptor(configuration),
                ResumeSessionInterceptor(codec),
                AuthorizeInterceptor(configuration),
                AdmitInterceptor({ organisation, _, _ ->
                    if (organisation.value == "flood") Err(ProxyErrors.rateExceeded) else Ok(0)
                }),
                RouteInterceptor(ReplicaRoutePolicy(), { view }, ZoneId("a"), clock),
                ExecuteInterceptor(FakeGateway(replicas = setOf(TargetId("r-near"), TargetId("r-far")))),
            ),
        )
    }

    private companion object {
        private val ledger = GroupId("ledger")
        private val authority = OrganisationId("authority")
        private val codec = SessionCodec("secret-of-the-tests")

        private val configuration =
            Configuration(
                plans = PlanList(1, mapOf(authority to PlanId("large"), OrganisationId("flood") to PlanId("large"))),
                grants =
                GrantList(
                    number = 1,
                    grants = mapOf(PlanId("large") to Grant(ratePerSecond = 10.0, burst = 5, groups = setOf(ledger))),
                    openGroups = setOf(GroupId("notices")),
                ),
                keys =
                mapOf(
                    KeyDigest.of(ApiKey("good")) to KeyRecord("k1", authority),
                    KeyDigest.of(ApiKey("gone")) to KeyRecord("k2", authority, withdrawn = true),
                    KeyDigest.of(ApiKey("flood")) to KeyRecord("k3", OrganisationId("flood")),
                    KeyDigest.of(ApiKey("poor")) to KeyRecord("k4", OrganisationId("poor")),
                ),
            )

        private val view =
            FleetView(
                targets =
                listOf(
                    target("p", "ledger", "b", TargetRole.PRIMARY, applied = 9),
                    target("r-near", "ledger", "a", TargetRole.REPLICA, applied = 5),
                    target("r-far", "ledger", "b", TargetRole.REPLICA, applied = 8),
                    target("n", "notices", "a", TargetRole.PRIMARY, applied = 1),
                ).fold(persistentMapOf()) { all, entry -> all.put(entry.target, entry) },
            )

        private fun target(name: String, group: String, zone: String, role: TargetRole, applied: Long) = TargetEntry(
            target = TargetId(name),
            group = GroupId(group),
            zone = ZoneId(zone),
            address = "127.0.0.1:1",
            role = role,
            term = Term(1),
            received = LogPosition(applied),
            applied = LogPosition(applied),
            slots = 3,
        )

        private fun sessionAt(index: Long, organisation: OrganisationId = authority) =
            Session(organisation, mapOf(ledger to Position(Term(1), LogPosition(index))))

        @JvmStatic
        fun cases(): List<PathCase> = listOf(
            PathCase("a new session reads from a replica in the own zone", target = "r-near"),
            PathCase("a session reads from a replica that has applied its position", session = sessionAt(5), target = "r-near"),
            PathCase("a session ahead of the near replica reads from the far one", session = sessionAt(8), target = "r-far"),
            PathCase("a session ahead of all replicas reads from the primary", session = sessionAt(9), target = "p"),
            PathCase("a write goes to the primary", access = Access.WRITE, target = "p"),
            PathCase("a missing key", key = null, error = ErrorKind.KEY_MISSING),
            PathCase("a read of an open group without a key", key = null, group = GroupId("notices"), target = "n"),
            PathCase(
                "a write to an open group without a key",
                key = null,
                group = GroupId("notices"),
                access = Access.WRITE,
                error = ErrorKind.KEY_MISSING,
            ),
            PathCase("an unknown key", key = ApiKey("bad"), error = ErrorKind.KEY_UNKNOWN),
            PathCase("a withdrawn key", key = ApiKey("gone"), error = ErrorKind.KEY_WITHDRAWN),
            PathCase("an organisation without a plan", key = ApiKey("poor"), error = ErrorKind.GROUP_NOT_GRANTED),
            PathCase("a group outside the plan", group = GroupId("other"), error = ErrorKind.GROUP_NOT_GRANTED),
            PathCase("an organisation over its rate limit", key = ApiKey("flood"), error = ErrorKind.RATE_EXCEEDED),
            PathCase(
                "a session of another organisation",
                session = sessionAt(1, OrganisationId("flood")),
                error = ErrorKind.SESSION_FOREIGN,
            ),
            PathCase(
                "a session token with a wrong signature",
                rawSession = codec.encode(sessionAt(1)).dropLast(2) + "AA",
                error = ErrorKind.SESSION_INVALID,
            ),
            PathCase("a malformed session token", rawSession = "abc", error = ErrorKind.SESSION_INVALID),
        )
    }
}
