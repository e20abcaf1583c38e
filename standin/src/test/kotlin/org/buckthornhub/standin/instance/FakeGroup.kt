package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.buckthornhub.target.wire.ExecuteRequest
import org.buckthornhub.target.wire.TargetFault
import org.buckthornhub.target.wire.WireAction
import kotlin.test.assertEquals

/** Three instances in zones z1, z2 and z1 with immediate message delivery; time advances only by [GroupStep.Pass]. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class FakeGroup {
    private val decider = InstanceDecider()
    private var nowMillis = 0L
    private var nextRequest = 1
    var states: List<InstanceState> = listOf("z1", "z2", "z1").mapIndexed { index, zone ->
        val role = if (index == 0) TargetRole.PRIMARY else TargetRole.REPLICA
        InstanceState(targetOf(index + 1), ZoneId(zone), role, Term(1))
    }
        private set

    fun execute(step: GroupStep) {
        when (step) {
            is GroupStep.Run -> run(step)
            is GroupStep.Promote -> expect(step.fault, ask(step.instance) { InstanceMessage.Promote(Term(step.term), it) })
            is GroupStep.Follow ->
                expect(step.fault, ask(step.instance) { InstanceMessage.Follow(Term(step.term), targetOf(step.primary), it) })
            is GroupStep.Inject -> ask(step.instance) { InstanceMessage.Inject(step.fault, it) }
            is GroupStep.Pass -> pass(step.millis)
        }
    }

    private fun pass(millis: Long) {
        nowMillis += millis
        states.indices.forEach { deliver(it, InstanceMessage.Tick) }
        states.indices.forEach { deliver(it, InstanceMessage.Heartbeat) }
    }

    private fun run(step: GroupStep.Run) {
        val connection = ask(step.instance) { InstanceMessage.Connect(it) }.getOrElse { error(it.toString()) }
        val action = if (step.text.startsWith("get")) WireAction.READ else WireAction.WRITE
        val request = ExecuteRequest("r${nextRequest++}", action, step.text)
        val result = ask(step.instance) { InstanceMessage.Execute(connection, request, it) }
        deliver(step.instance - 1, InstanceMessage.Disconnect(connection))
        expect(step.fault, result)
        if (step.fault == null) assertEquals(step.value, result.getOrElse { error(it.toString()) }.value, step.toString())
    }

    private fun expect(code: String?, result: Result<*, TargetFault>) = assertEquals(code, result.getError()?.code?.name)

    private fun <T> ask(instance: Int, message: (CompletableDeferred<Result<T, TargetFault>>) -> InstanceMessage): Result<T, TargetFault> {
        val reply = CompletableDeferred<Result<T, TargetFault>>()
        deliver(instance - 1, message(reply))
        return reply.getCompleted()
    }

    private fun deliver(index: Int, message: InstanceMessage) {
        val decision = decider.decide(states[index], message, nowMillis)
        states = states.toMutableList().also { it[index] = decision.state }
        decision.effects.forEach { carryOut(index, it) }
    }

    private fun carryOut(from: Int, effect: InstanceEffect) {
        when (effect) {
            is InstanceEffect.Answer<*> -> complete(effect)
            is InstanceEffect.Send ->
                states.indices
                    .filter { it != from && (effect.to == null || states[it].target == effect.to) }
                    .filter { effect.onlyZone == null || states[it].zone == effect.onlyZone }
                    .forEach { deliver(it, effect.message) }
            is InstanceEffect.Listen, is InstanceEffect.Discarded -> Unit
        }
    }

    private fun <T> complete(effect: InstanceEffect.Answer<T>) {
        effect.reply.complete(effect.value)
    }

    private fun targetOf(instance: Int) = TargetId("g-$instance")
}
