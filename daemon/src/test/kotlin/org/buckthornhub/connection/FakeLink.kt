package org.buckthornhub.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import org.buckthornhub.group.Position
import org.buckthornhub.horizon.CommitTimeline
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.statement.Access
import org.buckthornhub.target.TargetRole

/** A connection of [organisation] to a [FakeInstance]. */
internal class FakeLink(
    private val instance: FakeInstance,
    private val organisation: OrganisationId,
) : TargetLink {
    private var phase = SessionPhase.IDLE
    private var isReadWrite = false
    private var hasWritten = false
    private var prepared: Map<String, PreparedStatement> = emptyMap()
    override var isOpen = true
        private set
    override val position: Position get() = instance.position

    override suspend fun run(statement: TargetStatement, timeoutMillis: Long): Result<TargetReply, TargetLinkFailure> {
        if (!isOpen) return Err(TargetLinkFailure(mayHaveRun = false, isSilent = false, "ended"))
        delay(1)
        return answer(statement, timeoutMillis).also { instance.onAnswer(statement) }
    }

    private suspend fun answer(statement: TargetStatement, timeoutMillis: Long): Result<TargetReply, TargetLinkFailure> = when (statement) {
        is TargetStatement.Begin -> begin(statement)
        is TargetStatement.Run -> work(statement.text, statement.floor, statement.text.startsWith("WRITE"), timeoutMillis)
        is TargetStatement.Execute -> {
            val found = prepared[statement.name] ?: return Ok(refused(TargetRefusal.PREPARED_UNKNOWN))
            val isWrite = found.access == Access.WRITE
            work("${found.template} ${statement.arguments}", statement.floor, isWrite, timeoutMillis)
        }
        is TargetStatement.Commit -> commit(timeoutMillis)
        is TargetStatement.RollBack -> {
            instance.fault("ROLLBACK")
            Ok(ended())
        }
        is TargetStatement.Setup -> Ok(setup(statement.step))
        is TargetStatement.StepDown, is TargetStatement.Pause, is TargetStatement.Resume, is TargetStatement.Status ->
            Ok(completed(emptyList()))
    }

    override fun close() {
        isOpen = false
        endTransaction()
    }

    private fun begin(statement: TargetStatement.Begin): Result<TargetReply, TargetLinkFailure> {
        if (!statement.readOnly && instance.role != TargetRole.PRIMARY) return Ok(refused(TargetRefusal.NOT_LEADING))
        if (isBehind(statement.floor)) return Ok(refused(TargetRefusal.BEHIND))
        phase = SessionPhase.IN_TRANSACTION
        instance.transactionBegan()
        isReadWrite = !statement.readOnly
        return Ok(completed(emptyList()))
    }

    private suspend fun work(
        text: String,
        floor: Position?,
        isWrite: Boolean,
        timeoutMillis: Long,
    ): Result<TargetReply, TargetLinkFailure> {
        val needsPrimary = isWrite || phase == SessionPhase.IN_TRANSACTION && isReadWrite
        if (needsPrimary && instance.role != TargetRole.PRIMARY) return Ok(failed(TargetRefusal.NOT_LEADING))
        if (isBehind(floor)) return Ok(refused(TargetRefusal.BEHIND))
        return when (val fault = instance.fault(text)) {
            FakeFault.SILENT -> silent(timeoutMillis)
            FakeFault.NOT_SENT -> notSent()
            FakeFault.BUSY, FakeFault.NOT_LEADING, FakeFault.OTHER_INSTANCE, FakeFault.PREPARED_UNKNOWN -> Ok(refused(fault))
            FakeFault.FAILED -> {
                instance.run(text, organisation)
                Ok(failed(TargetRefusal.FAILED))
            }
            FakeFault.ANSWER_LOST, FakeFault.TIMED_OUT, FakeFault.IN_DOUBT, FakeFault.OTHER_CODE, null -> ran(text, isWrite, fault)
        }
    }

    private fun ran(text: String, isWrite: Boolean, fault: FakeFault?): Result<TargetReply, TargetLinkFailure> {
        instance.run(text, organisation)
        if (isWrite && phase == SessionPhase.IDLE) instance.commit()
        hasWritten = hasWritten || isWrite
        return when (fault) {
            FakeFault.ANSWER_LOST -> lost()
            null -> Ok(completed(listOf("row of $text"), "signed by ${instance.record.target}"))
            else -> Ok(refused(fault))
        }
    }

    private suspend fun commit(timeoutMillis: Long): Result<TargetReply, TargetLinkFailure> {
        if (hasWritten && instance.role != TargetRole.PRIMARY) return Ok(failed(TargetRefusal.NOT_LEADING))
        val fault = instance.fault("COMMIT")
        if (fault == FakeFault.SILENT) return silent(timeoutMillis)
        if (fault == FakeFault.NOT_SENT) return notSent()
        if (fault == FakeFault.BUSY || fault == FakeFault.NOT_LEADING) return Ok(refused(fault))
        if (hasWritten) instance.commit()
        ended()
        return when (fault) {
            FakeFault.ANSWER_LOST -> lost()
            null -> Ok(completed(emptyList(), "commit signed by ${instance.record.target}"))
            else -> Ok(refused(fault))
        }
    }

    private fun setup(step: SetupStatement): TargetReply {
        if (step is SetupStatement.Prepare) prepared = prepared + (step.name to step.statement)
        if (step is SetupStatement.Discard) prepared = emptyMap()
        return completed(emptyList())
    }

    private fun ended(): TargetReply {
        endTransaction()
        hasWritten = false
        return completed(emptyList())
    }

    private fun endTransaction() {
        if (phase != SessionPhase.IDLE) instance.transactionEnded()
        phase = SessionPhase.IDLE
    }

    private fun isBehind(floor: Position?) = floor != null && CommitTimeline.compare(instance.position, floor) < 0

    private fun failed(refusal: TargetRefusal): TargetReply {
        if (phase == SessionPhase.IN_TRANSACTION) phase = SessionPhase.FAILED
        return refused(refusal)
    }

    private fun refused(fault: FakeFault): TargetReply = when (fault) {
        FakeFault.BUSY -> refused(TargetRefusal.BUSY)
        FakeFault.NOT_LEADING -> refused(TargetRefusal.NOT_LEADING)
        FakeFault.OTHER_INSTANCE -> refused(TargetRefusal.OTHER_INSTANCE)
        FakeFault.PREPARED_UNKNOWN -> refused(TargetRefusal.PREPARED_UNKNOWN)
        FakeFault.TIMED_OUT -> refused(TargetRefusal.TIMED_OUT)
        FakeFault.IN_DOUBT -> refused(TargetRefusal.IN_DOUBT)
        FakeFault.FAILED -> refused(TargetRefusal.FAILED)
        FakeFault.OTHER_CODE -> refused(TargetRefusal.OTHER)
        FakeFault.ANSWER_LOST, FakeFault.SILENT, FakeFault.NOT_SENT -> error("$fault is no answer")
    }

    private fun refused(refusal: TargetRefusal) = TargetReply.Refused(refusal, "refused by the test", phase, instance.position)

    private fun completed(rows: List<String>, signature: String? = null) = TargetReply.Completed(rows, signature, phase, instance.position)

    private fun notSent(): Result<TargetReply, TargetLinkFailure> {
        isOpen = false
        return Err(TargetLinkFailure(mayHaveRun = false, isSilent = false, "not sent"))
    }

    private fun lost(): Result<TargetReply, TargetLinkFailure> {
        isOpen = false
        return Err(TargetLinkFailure(mayHaveRun = true, isSilent = false, "lost"))
    }

    private suspend fun silent(timeoutMillis: Long): Result<TargetReply, TargetLinkFailure> {
        delay(timeoutMillis)
        isOpen = false
        return Err(TargetLinkFailure(mayHaveRun = true, isSilent = true, "silent"))
    }
}
