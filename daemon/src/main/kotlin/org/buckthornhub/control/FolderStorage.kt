package org.buckthornhub.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.PeerJson
import org.buckthornhub.replication.ControlStorage
import org.buckthornhub.replication.DiskId
import org.buckthornhub.replication.DurableRecord
import org.buckthornhub.replication.DurableRecords
import org.buckthornhub.replication.Member
import org.buckthornhub.text.UnicodeText
import java.io.ByteArrayOutputStream
import java.io.File
import java.util.UUID

/** Data folder of one control VM: an identity file and an append-only file of records. */
internal class FolderStorage private constructor(private val files: DataFiles) : ControlStorage {
    override fun append(records: PersistentList<DurableRecord>): Unit = files.append(RECORDS, encode(records))

    override fun rewrite(records: PersistentList<DurableRecord>) {
        files.write("$RECORDS.new", encode(records))
        files.rename("$RECORDS.new", RECORDS)
        files.syncFolder()
    }

    private fun encode(records: List<DurableRecord>): ByteArray =
        ByteArrayOutputStream().also { out -> records.forEach { RecordLine.write(it, out) } }.toByteArray()

    internal companion object {
        const val FORMAT = 1
        const val MARK = "mark.json"
        const val RECORDS = "records"
        private const val LINE_END = '\n'.code.toByte()
        private val logger = KotlinLogging.logger {}

        /** Opens [folder] for [vm]. An empty folder is initialised with a new disk id. */
        fun open(folder: File, vm: VmId): Result<OpenedStorage, StorageError> = open(FolderDataFiles(folder.toPath()), vm)

        /** Opens [files] for [vm]. Without an identity or without records they are initialised with a new disk id. */
        fun open(files: DataFiles, vm: VmId): Result<OpenedStorage, StorageError> {
            val bytes = files.read(RECORDS)
            val mark = readMark(files).getOrElse { return Err(it) }
            if (mark == null) return if (bytes == null) Ok(initialise(files, vm)) else fail("$files holds records but no $MARK")
            if (mark.format > FORMAT) return fail("$files has format ${mark.format}; this version supports formats up to $FORMAT")
            if (mark.owner.vm != vm) return fail("$files belongs to VM ${mark.owner.vm}, not to $vm")
            if (bytes == null) {
                logger.warn { "$files holds no records of ${mark.owner}; this VM joins the quorum as another member" }
                return Ok(initialise(files, vm))
            }
            return recover(files, mark.owner, bytes)
        }

        private fun readMark(files: DataFiles): Result<FolderMark?, StorageError> {
            val bytes = files.read(MARK) ?: return Ok(null)
            return try {
                val text = UnicodeText.decode(bytes) ?: return fail("$MARK in $files is damaged: it is not UTF-8")
                Ok(PeerJson.decodeFromString(FolderMark.serializer(), text))
            } catch (e: IllegalArgumentException) {
                fail("$MARK in $files is damaged: ${e.message.orEmpty().lineSequence().first()}")
            }
        }

        // The records come after the identity: an identity without records is never used, whichever name a loss of power takes.
        private fun initialise(files: DataFiles, vm: VmId): OpenedStorage {
            val mark = FolderMark(FORMAT, Member(vm, DiskId(UUID.randomUUID().toString())))
            files.write("$MARK.new", PeerJson.encodeToString(FolderMark.serializer(), mark).toByteArray())
            files.rename("$MARK.new", MARK)
            files.syncFolder()
            files.write(RECORDS, ByteArray(0))
            files.syncFolder()
            return OpenedStorage(mark.owner, DurableRecords.replay(emptyList()), FolderStorage(files))
        }

        private fun recover(files: DataFiles, owner: Member, bytes: ByteArray): Result<OpenedStorage, StorageError> {
            val length = bytes.lastIndexOf(LINE_END) + 1
            // What is not UTF-8 does not match the checksum of its line.
            val lines = bytes.decodeToString(endIndex = length).lineSequence().toList().dropLast(1)
            val records = lines.map { RecordLine.decode(it) }
            val damaged = records.indexOf(null)
            if (damaged >= 0) {
                return fail("$RECORDS in $files is damaged in record ${damaged + 1} of ${records.size}; replace the disk and start empty")
            }
            // A record without its line end was never synced, so it was never acknowledged.
            if (length < bytes.size) files.truncate(RECORDS, length.toLong())
            // Earlier versions did not sync the name of the file that they had created.
            files.syncFolder()
            return Ok(OpenedStorage(owner, DurableRecords.replay(records.filterNotNull().toPersistentList()), FolderStorage(files)))
        }

        private fun fail(detail: String) = Err(StorageError(detail))
    }
}
