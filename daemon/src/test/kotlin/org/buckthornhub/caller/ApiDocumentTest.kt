package org.buckthornhub.caller

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.descriptors.elementNames
import org.buckthornhub.caller.wire.AnswerBody
import org.buckthornhub.caller.wire.ErrorBody
import org.buckthornhub.caller.wire.StatementBody
import org.buckthornhub.caller.wire.TransactionBody
import org.buckthornhub.clock.SystemClock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.Execution
import org.buckthornhub.liveness.LivenessRoutes
import org.buckthornhub.proxy.Proxy
import org.buckthornhub.session.SessionCodec
import org.buckthornhub.statement.Access
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.yaml.snakeyaml.LoaderOptions
import org.yaml.snakeyaml.Yaml
import org.yaml.snakeyaml.constructor.SafeConstructor
import java.io.File
import kotlin.test.assertEquals

/** The OpenAPI document describes exactly the interface that the daemon serves. */
internal class ApiDocumentTest {
    private val document: Map<*, *> = Yaml(SafeConstructor(LoaderOptions())).load(File("../docs/openapi.yaml").readText())

    @Test
    fun `documents every route`() {
        val proxy = Proxy(persistentListOf())
        val served = CallerRoutes(proxy, SessionCodec("secret-of-this-test"), SystemClock, 1).routes() + LivenessRoutes { true }.routes()
        val documented =
            (document["paths"] as Map<*, *>).flatMap { (path, item) ->
                (item as Map<*, *>).keys.filter { it != "parameters" }.map { "${it.toString().uppercase()} $path" }
            }
        assertEquals(served.map { "${it.method.value} ${it.path}" }.toSet(), documented.toSet())
    }

    @ParameterizedTest
    @MethodSource("bodies")
    fun `documents every field`(case: SchemaCase) {
        val schema = schema(case.name)
        val required = case.body.elementNames.filterIndexed { index, _ -> !case.body.isElementOptional(index) }
        assertEquals(case.body.elementNames.toSet(), (schema["properties"] as Map<*, *>).keys)
        assertEquals(required, schema["required"])
    }

    @Test
    fun `documents every value of the enums`() {
        assertEquals(ErrorKind.entries.map { it.name }, schema("ErrorKind")["enum"])
        assertEquals(Execution.entries.map { it.name }, property("ErrorBody", "execution")["enum"])
        assertEquals(Access.entries.map { it.name }, property("StatementBody", "access")["enum"])
    }

    private fun schema(name: String): Map<*, *> = (document["components"].at("schemas")).at(name) as Map<*, *>

    private fun property(schema: String, name: String): Map<*, *> = schema(schema)["properties"].at(name) as Map<*, *>

    private fun Any?.at(key: String): Any? = (this as Map<*, *>)[key]

    private companion object {
        @JvmStatic
        fun bodies(): List<SchemaCase> = listOf(
            SchemaCase("StatementBody", StatementBody.serializer().descriptor),
            SchemaCase("TransactionBody", TransactionBody.serializer().descriptor),
            SchemaCase("AnswerBody", AnswerBody.serializer().descriptor),
            SchemaCase("ErrorBody", ErrorBody.serializer().descriptor),
        )
    }
}
