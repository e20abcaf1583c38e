package org.buckthornhub.observe

import io.ktor.http.HttpMethod
import org.buckthornhub.explain.ExplainAnswer
import org.buckthornhub.explain.ExplainQuery
import org.buckthornhub.explain.ExplainState
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.group.GroupId
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.Route
import org.buckthornhub.http.WireJson
import org.buckthornhub.organisation.OperatorAuthority
import org.buckthornhub.organisation.OrganisationId

/** `GET /v1/operator/explain?trace=…`, `group=…` or `organisation=…`, answered from the records of this daemon. */
internal class ExplainRoutes(
    private val records: StateSource<ExplainState>,
    private val authority: OperatorAuthority,
) {
    fun routes(): List<Route> = listOf(Route(HttpMethod.Get, "/v1/operator/explain", authority.guard { explain(it) }))

    private fun explain(request: HttpRequest): HttpReply {
        val query =
            ExplainQuery(
                traceId = request.query["trace"],
                group = request.query["group"]?.let { GroupId(it) },
                organisation = request.query["organisation"]?.let { OrganisationId(it) },
            )
        val answer = query.answer(records.current())
        return HttpReply(OK, WireJson.encodeToString(ExplainAnswer.serializer(), answer))
    }

    private companion object {
        const val OK = 200
    }
}
