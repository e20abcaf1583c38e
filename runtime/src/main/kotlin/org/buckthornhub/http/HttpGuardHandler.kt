package org.buckthornhub.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.overload.ChannelReset
import org.buckthornhub.overload.ConnectionGuard
import org.buckthornhub.overload.GuardedId
import org.buckthornhub.overload.Holding

/** Counts the bodies of requests until they are answered, and replies until they are sent; sits behind the HTTP codec. */
internal class HttpGuardHandler(private val guard: ConnectionGuard) : ChannelDuplexHandler() {
    private var id: GuardedId? = null
    private var reported = Holding.NONE
    private var isOpened = false
    private var isEstablished = false

    /** Bytes of the body of each request without an answer, in order. */
    private var bodies: PersistentList<Int> = persistentListOf()
    private var unreadBytes = 0
    private var isReceiving = false
    private var isRefused = false
    private var isReportedIncomplete = false

    // Ktor fires this event once more after Netty has.
    override fun channelActive(context: ChannelHandlerContext) {
        if (isOpened) return context.fireChannelActive().let { }
        isOpened = true
        val channel = context.channel()
        val admitted = guard.open { ChannelReset.reset(channel) }
        if (admitted == null) return ChannelReset.reset(channel)
        id = admitted
        // Until the first request is complete, also if nothing is sent at all.
        reportIncomplete(admitted, true)
        context.fireChannelActive()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val admitted = id
        // A reset takes effect only after the other messages of the same read.
        if (admitted == null || isRefused || !receive(context, admitted, message)) {
            ReferenceCountUtil.release(message)
            return
        }
        context.fireChannelRead(message)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        id?.let { if (isReceiving) reportIncomplete(it, true) }
        context.fireChannelReadComplete()
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        val admitted = id
        val end = if (admitted == null) promise else promise.unvoid()
        if (admitted != null) answer(context, admitted, message, end)
        context.write(message, end)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        id?.let { guard.end(it) }
        id = null
        context.fireChannelInactive()
    }

    @Deprecated("Deprecated in the base type")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is OutOfMemoryError) return context.fireExceptionCaught(cause).let { }
        logger.warn { "resetting an HTTP connection for lack of memory: ${cause.message}" }
        ChannelReset.reset(context.channel())
    }

    /** Returns whether [message] is passed on. */
    private fun receive(context: ChannelHandlerContext, admitted: GuardedId, message: Any): Boolean {
        if (message is HttpRequest) {
            if (bodies.size == MAX_UNANSWERED) return refuse(context)
            bodies = bodies.add(0)
            isReceiving = true
        }
        val isEnd = message is LastHttpContent
        if (isEnd) {
            isReceiving = false
            reportIncomplete(admitted, false)
        }
        if (message !is HttpContent || !message.content().isReadable) return true
        // An answer that came before the end of the body did not need the rest of it.
        if (bodies.isEmpty()) return isEnd
        bodies = bodies.set(bodies.size - 1, bodies.last() + message.content().readableBytes())
        return report(context, admitted)
    }

    private fun answer(context: ChannelHandlerContext, admitted: GuardedId, message: Any, end: ChannelPromise) {
        if (message is HttpResponse && message.status().codeClass() == HttpStatusClass.INFORMATIONAL) return
        val bytes = (message as? HttpContent)?.content()?.readableBytes() ?: 0
        if (bytes > ConnectionGuard.SMALL_BYTES) {
            unreadBytes += bytes
            end.addListener(
                ChannelFutureListener {
                    unreadBytes -= bytes
                    report(context, admitted)
                },
            )
        }
        if (message is LastHttpContent && bodies.isNotEmpty()) {
            bodies = bodies.removeAt(0)
            if (!isEstablished) guard.establish(admitted)
            isEstablished = true
        }
        report(context, admitted)
    }

    private fun report(context: ChannelHandlerContext, admitted: GuardedId): Boolean {
        val bytes = bodies.sumOf { it.toLong() * COPIES_OF_BODY } + unreadBytes.toLong() * COPIES_OF_REPLY
        val holding = if (bytes <= ConnectionGuard.SMALL_BYTES) Holding.NONE else Holding(freeableBytes = bytes)
        if (holding == reported || id == null) return true
        reported = holding
        return guard.hold(admitted, holding) || refuse(context)
    }

    private fun refuse(context: ChannelHandlerContext): Boolean {
        isRefused = true
        ChannelReset.reset(context.channel())
        return false
    }

    private fun reportIncomplete(admitted: GuardedId, isIncomplete: Boolean) {
        if (isIncomplete == isReportedIncomplete) return
        isReportedIncomplete = isIncomplete
        guard.incomplete(admitted, isIncomplete)
    }

    private companion object {
        /** Clients of these servers wait for an answer before they send another request. The replies of many at once filled the heap. */
        const val MAX_UNANSWERED = 2

        /** The buffers, the bytes of the whole body, its text and what is decoded from it. */
        const val COPIES_OF_BODY = 4

        /** The text and its bytes. */
        const val COPIES_OF_REPLY = 2
        val logger = KotlinLogging.logger {}
    }
}
